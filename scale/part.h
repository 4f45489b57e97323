// A part of the hollow fleet: some members of a role in a process of their own, so that what the role spends
// is what the process spends. The fleet asks over a socket, a line each way.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/net.h"
#include "scale/meters.h"

namespace peargrade::scale {

using Words = std::vector<std::string>;

// Runs on the loop of its process.
class Part {
 public:
  virtual ~Part() = default;
  // Answers what the fleet asks. What it throws goes back to the fleet as the text of an Asked::Failed.
  virtual Figures on(const Words& words) = 0;
  // After each turn of the loop.
  virtual void turn() {}
  // Something waits for the next turn: the loop should not.
  virtual bool waiting() const { return false; }
};
using MakePart = std::function<std::unique_ptr<Part>(event_base*)>;

// A part could not do what it was asked, or has ended.
class Failed : public std::runtime_error {
  using std::runtime_error::runtime_error;
};
// The run has come to the end of its time.
class OutOfTime : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The fleet's end of a part. The process ends with it.
class Child {
 public:
  // Forks. The caller has no loop and no thread of its own. `deadline`: of the whole run, on steadyNow's
  // clock.
  Child(std::string name, const MakePart& make, Micros deadline);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  // Throws Failed, or OutOfTime at the deadline.
  Figures ask(const std::string& words);
  // Of several at once: all are told before the first answer is waited for.
  void tell(const std::string& words);
  Figures answer();
  // Throws Failed where it has ended by itself.
  void check();
  // Ends it without warning, as a machine that loses its power.
  void kill();
  const std::string& name() const { return name_; }
  pid_t process() const { return process_; }

 private:
  std::string name_;
  Micros deadline_;
  pid_t process_ = -1;
  int socket_ = -1;
  std::string input_;
};

}  // namespace peargrade::scale
