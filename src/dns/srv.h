// Lookup of a service by its SRV records (RFC 2782) and the addresses of their targets: which questions are
// needed, and how their results are combined. Performs no I/O and reads no clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "dns/cache.h"
#include "dns/message.h"

namespace peargrade::dns {

/// One SRV record with the addresses of its target.
struct Target {
  std::string name;  // canonical
  std::uint16_t priority = 0;
  std::uint16_t weight = 0;
  std::uint16_t port = 0;
  std::vector<std::string> addresses;  // as text, IPv4 before IPv6; IPv6 in brackets
  bool sure = true;                    // both address questions have a complete result that is not stale
  Micros until = 0;  // earliest end of lifetime of the SRV records and addresses; stale ones excluded
};

/// All targets of a service. Times in microseconds of one clock.
struct Service {
  enum class Kind {
    Complete,  // all SRV records of the service
    Partial,   // the list may miss targets
    Failed,    // no name server gave a usable answer
  } kind = Kind::Failed;
  Verdict verdict = Verdict::ServFail;  // of the SRV question
  Micros asOf = 0;                      // time at which the lookup of the SRV records started
  Micros until = 0;                     // end of the lifetime of the SRV records
  std::vector<Target> targets;
};

/// State of one lookup. The caller resolves the questions that it returns and passes the results to
/// `onResult`, until `done`.
class SrvLookup {
 public:
  explicit SrvLookup(const std::string& name) : name_(canonical(name)) {}

  Question srvQuestion() const { return {name_, Type::SRV}; }
  /// Takes the result of a question. Returns the questions to resolve next.
  std::vector<Question> onResult(const Question& question, const Result& result);
  bool done() const { return hasSrvResult_ && pendingResults_ == 0; }
  /// Requires done().
  Service service() const;

 private:
  std::string name_;
  bool hasSrvResult_ = false;
  std::size_t pendingResults_ = 0;  // address questions without a result
  Result srv_;
  std::map<std::string, std::map<Type, Result>> addresses_;  // by target name
};

}  // namespace peargrade::dns
