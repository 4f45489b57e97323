// Assembles a zone transfer message by message: a full zone (AXFR, RFC 5936) or changes (IXFR, RFC 1995). The
// result is valid only once the transfer is complete. No I/O.
#pragma once

#include <optional>
#include <string>

#include "dns_zone/message.h"
#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

/// Receives one transfer; zone() is valid once the state is Done.
class Transfer {
 public:
  /// `base`: the current zone, for IXFR; it must outlive the transfer. Null: AXFR.
  Transfer(const std::string& origin, const Zone* base, std::size_t maxRecords = 1000000);

  /// The request: AXFR, or IXFR with the serial of the current zone.
  Message question(std::uint16_t id) const;

  enum class State {
    More,      // further messages are expected
    Done,      // zone() is complete
    UpToDate,  // the primary has nothing newer
    Unfit,     // the changes do not apply to the current zone: request an AXFR
    Failed,    // an error response or a malformed transfer
  };
  State take(const Message& message);
  const Zone& zone() const { return zone_; }
  const std::string& why() const { return why_; }  // of Unfit and Failed
  std::size_t messages() const { return messages_; }

 private:
  enum class Phase { Begin, Second, FullZone, Removing, Adding, Over };
  State checkHeader(const Message& message);
  State acceptRaw(const RawRecord& raw);
  State acceptRecord(const Record& r);
  // Handle a record in the phase of that name.
  State acceptSecond(const Record& r);
  State acceptFullZone(const Record& r);
  State acceptRemoval(const Record& r);
  State acceptAddition(const Record& r);
  State finish(State state, const std::string& why);
  bool lastSoa(const Record& r) const { return r.type == Type::SOA && r.data == finalSoa_.data; }

  const std::string origin_;
  const Zone* base_;
  const std::size_t maxRecords_;
  Zone zone_;
  Record finalSoa_;           // the SOA at the start and end of the transfer
  std::uint32_t serial_ = 0;  // the serial reached by the changes so far
  Phase phase_ = Phase::Begin;
  State state_ = State::More;
  std::string why_;
  std::size_t records_ = 0;
  std::size_t messages_ = 0;
};

}  // namespace peargrade::dns_zone
