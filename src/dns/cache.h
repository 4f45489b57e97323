// Cache of DNS results: lifetimes, refresh times and failure backoff by question. Performs no I/O and reads
// no clock.
#pragma once

#include <list>
#include <map>

#include "dns/message.h"
#include "dns/settings.h"

namespace peargrade::dns {

/// The result of resolving one question.
struct Result {
  enum class Kind {
    Data,    // records
    None,    // the name has no records of this type, or does not exist
    Failed,  // no name server gave a usable answer
  } kind = Kind::Failed;
  bool complete = false;  // false for a truncated answer whose remainder could not be fetched over TCP
  bool stale = false;     // served after its lifetime because no usable answer was received (RFC 8767)
  std::vector<Record> records;
  Verdict verdict = Verdict::ServFail;
  Micros asOf = 0;   // time at which the lookup started
  Micros until = 0;  // end of its lifetime
};

/// Results by question, bounded in entries and bytes. Evicts the least recently used entry. All times are
/// microseconds of one clock.
class Cache {
 public:
  explicit Cache(const Settings& settings) : settings_(settings) {}

  struct Found {
    /// The result if it has not expired, else null. Valid until the next change of the cache.
    const Result* result = nullptr;
    bool refresh = false;     // the refresh of the result is due
    Micros backoffUntil = 0;  // after a failure, the question is not sent before this time
  };
  Found find(const Question& question, Micros now);
  /// The last result, if it has expired by less than `Settings::staleFor` or has not expired; null otherwise.
  const Result* stale(const Question& question, Micros now) const;

  /// Stores a result. Its lifetime is `ttl` seconds, limited by the settings. `jitter` from 0 to 1 makes its
  /// refresh earlier. Returns the stored result.
  const Result& store(const Question& question, Result result, std::uint32_t ttl, Micros now, double jitter);
  /// Records that no name server gave a usable answer. The last result remains available as stale; the
  /// question is in backoff, which doubles with each failure.
  void recordFailure(const Question& question, Micros now);
  void forget(const Question& question);

  /// When the question should be sent again: at the refresh time of its result, or at the end of its backoff.
  Micros refreshAt(const Question& question) const;

  std::size_t size() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    Result result;
    bool hasResult = false;  // false if only failures have been recorded
    Micros refreshAt = 0;
    Micros backoffUntil = 0;
    int failures = 0;  // in a row
    std::size_t bytes = 0;
    std::list<Question>::iterator usePosition;  // in recentlyUsed_
  };
  Entry& touch(const Question& question);
  void updateSize(const Question& question, Entry& entry);
  void evictExcept(const Question& keep);

  const Settings& settings_;
  std::map<Question, Entry> entries_;
  std::list<Question> recentlyUsed_;  // most recently used first
  std::size_t bytes_ = 0;             // estimated size of all entries
};

}  // namespace peargrade::dns
