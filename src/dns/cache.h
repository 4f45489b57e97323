// What is known of questions, for how long, and when to ask again. Free of I/O and clock.
#pragma once

#include <list>
#include <map>

#include "dns/message.h"
#include "dns/settings.h"

namespace peargrade::dns {

// What the resolver says of a question.
struct Result {
  enum class Kind {
    Data,    // records
    None,    // the name or the type is not there
    Failed,  // nobody could say
  } kind = Kind::Failed;
  bool complete =
      false;           // nothing is known to be missing; false for a truncated answer whose rest did not come
  bool stale = false;  // served past its end, since nobody could say (RFC 8767)
  std::vector<Record> records;
  Verdict verdict = Verdict::ServFail;
  Micros asOf = 0;   // when it was asked
  Micros until = 0;  // end of its lifetime
};

// Answers by question, bounded in entries and bytes. Times in microseconds of one clock.
class Cache {
 public:
  explicit Cache(const Settings& settings) : settings_(settings) {}

  struct Found {
    const Result* result = nullptr;  // fresh; valid until the next change
    bool refresh = false;            // and better asked again soon
    Micros askNotBefore = 0;         // a failure holds the question until then
  };
  Found find(const Question& question, Micros now);
  // What may serve though its end has passed; null: nothing.
  const Result* stale(const Question& question, Micros now) const;

  // Keeps what was answered; its lifetime is bounded by the settings. `chance` from 0 to 1 spreads its
  // refresh. Returns what is kept.
  const Result& keep(const Question& question, Result result, std::uint32_t ttl, Micros now, double chance);
  // Nobody could say: what is known stays for stale use, and the question rests a while, longer each time.
  void failed(const Question& question, Micros now);
  void forget(const Question& question);

  // When a question is to be asked again of itself: before its end, spread.
  Micros refreshAt(const Question& question) const;

  std::size_t size() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    Result result;
    bool known = false;  // result holds something
    Micros refreshAt = 0;
    Micros heldUntil = 0;
    int failures = 0;
    std::size_t bytes = 0;
    std::list<Question>::iterator used;
  };
  Entry& touch(const Question& question);
  void weigh(const Question& question, Entry& entry);
  void makeRoom(const Question& keep);

  const Settings& settings_;
  std::map<Question, Entry> entries_;
  std::list<Question> byUse_;  // the last used first
  std::size_t bytes_ = 0;
};

}  // namespace peargrade::dns
