// A supervisor as a process of its own: the program as it is deployed, `peargrade serve`.
#pragma once

#include <sys/types.h>

#include <string>

#include "net/net.h"
#include "scale/meters.h"

namespace peargrade::scale {

class Real {
 public:
  // Writes the configuration to a file of its own under `folder` and starts the program with it. Its log goes
  // to a file beside it. Throws std::runtime_error.
  Real(const std::string& program, const std::string& folder, const std::string& name,
       const std::string& configuration);
  ~Real();  // ends it, and removes its files
  Real(const Real&) = delete;
  Real& operator=(const Real&) = delete;

  // The configuration changes and it is told by SIGHUP.
  void reload(const std::string& configuration);
  bool ended();
  Spent spent() const { return spentBy(process_); }

 private:
  std::string config_, log_;
  pid_t process_ = -1;
};

// An address of the loopback range that no other run of the fleet has, for the supervisor of a number.
net::Address ownAddress(int number);

}  // namespace peargrade::scale
