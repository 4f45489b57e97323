// A service by its SRV records (RFC 2782) with the addresses of its targets: which questions it takes, and
// what their answers say together. Free of I/O and clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "dns/cache.h"
#include "dns/message.h"

namespace peargrade::dns {

// One SRV record with the addresses of its target.
struct Target {
  std::string name;  // canonical
  std::uint16_t priority = 0, weight = 0, port = 0;
  std::vector<std::string> addresses;  // as text, IPv4 before IPv6
  bool sure = true;                    // all its addresses are known
  Micros until = 0;                    // end of the least lifetime of what it rests on
};

// All targets of a service. Times in microseconds of one clock.
struct Service {
  enum class Kind {
    Complete,  // all records of the service
    Partial,   // some; there may be more
    Failed,    // nobody could say
  } kind = Kind::Failed;
  Verdict verdict = Verdict::ServFail;  // of the SRV question
  Micros asOf = 0, until = 0;
  std::vector<Target> targets;
};

// One lookup: give it the answers of what it asks until it is done.
class SrvLookup {
 public:
  explicit SrvLookup(const std::string& name) : name_(canonical(name)) {}

  Question first() const { return {name_, Type::SRV}; }
  // What is to be asked next, given an answer to what was asked before.
  std::vector<Question> got(const Question& question, const Result& result);
  bool done() const { return begun_ && waiting_ == 0; }
  // After done().
  Service service() const;

 private:
  std::string name_;
  bool begun_ = false;
  std::size_t waiting_ = 0;
  Result srv_;
  std::map<std::string, std::map<Type, Result>> addresses_;
};

}  // namespace peargrade::dns
