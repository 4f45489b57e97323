// A zone transfer as it comes, message by message: whole (AXFR, RFC 5936) or as changes (IXFR, RFC 1995).
// Nothing of it counts before its end. Free of I/O.
#pragma once

#include <optional>
#include <string>

#include "dns_zone/message.h"
#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

// Takes one transfer in; its zone counts once the state is Done.
class Transfer {
 public:
  // `now`: the zone that changes would build on; null: the whole is asked for.
  Transfer(const std::string& origin, const Zone* now, std::size_t recordsMost = 1000000);

  // What is asked: AXFR, or IXFR with the serial that is held.
  Message question(std::uint16_t id) const;

  enum class State {
    More,      // further messages are due
    Done,      // zone() is whole
    UpToDate,  // the primary has nothing newer
    Unfit,     // the changes do not build on what is held: the whole has to be asked for
    Failed,    // refused, or what came is no transfer
  };
  State take(const Message& message);
  const Zone& zone() const { return zone_; }
  const std::string& why() const { return why_; }  // of Unfit and Failed
  std::size_t messages() const { return messages_; }

 private:
  enum class Phase { Begin, Second, Whole, Removing, Adding, Over };
  State refusal(const Message& message);
  State raw(const RawRecord& raw);
  State record(const Record& r);
  // A record of each phase.
  State second(const Record& r);
  State ofWhole(const Record& r);
  State removed(const Record& r);
  State added(const Record& r);
  State end(State state, const std::string& why);
  bool lastSoa(const Record& r) const { return r.type == Type::SOA && r.data == final_.data; }

  const std::string origin_;
  const Zone* now_;
  const std::size_t recordsMost_;
  Zone zone_;
  Record final_;          // the SOA that a transfer begins and ends with
  std::uint32_t at_ = 0;  // the serial that the changes have led to
  Phase phase_ = Phase::Begin;
  State state_ = State::More;
  std::string why_;
  std::size_t records_ = 0, messages_ = 0;
};

}  // namespace peargrade::dns_zone
