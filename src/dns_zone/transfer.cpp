#include "dns_zone/transfer.h"

namespace peargrade::dns_zone {

Transfer::Transfer(const std::string& origin, const Zone* base, std::size_t maxRecords)
    : origin_(origin), base_(base), maxRecords_(maxRecords), zone_(origin) {}

Message Transfer::question(std::uint16_t id) const {
  Message m;
  m.id = id;
  m.hasQuestion = true;
  m.name = origin_;
  m.type = base_ == nullptr ? kTypeAxfr : kTypeIxfr;
  if (base_ != nullptr) {
    const Zone::Set* soa = base_->find(origin_, Type::SOA);
    if (soa != nullptr) m.authority.push_back(rawOf({origin_, Type::SOA, soa->ttl, *soa->data.begin()}));
  }
  return m;
}

Transfer::State Transfer::finish(State state, const std::string& why) {
  phase_ = Phase::Over;
  why_ = why;
  return state_ = state;
}

// Checks the message before its records; More if it can carry a part of the transfer.
Transfer::State Transfer::checkHeader(const Message& m) {
  if (!m.response || m.opcode != Opcode::Query)
    return finish(State::Failed, "not a response to a transfer request");
  if (m.rcode != Rcode::NoError) {
    // A primary without IXFR support answers with one of these codes (RFC 1995, section 4).
    const bool unsupported = base_ != nullptr && (m.rcode == Rcode::NotImp || m.rcode == Rcode::FormErr ||
                                                  m.rcode == Rcode::Refused);
    return finish(unsupported ? State::Unfit : State::Failed, nameOf(m.rcode));
  }
  if (m.hasQuestion && m.name != origin_)
    return finish(State::Failed, "expected a transfer of " + origin_ + ", found " + m.name);
  if (m.answer.empty()) return finish(State::Failed, "a message without answer records");
  return State::More;
}

Transfer::State Transfer::acceptRaw(const RawRecord& raw) {
  if (phase_ == Phase::Over) return finish(State::Failed, "records after the end of the transfer");
  if (++records_ > maxRecords_)
    return finish(State::Failed, "more than " + std::to_string(maxRecords_) + " records");
  const auto type = typeFromNumber(raw.type);
  if (raw.cls != kIn)
    return finish(State::Failed, "expected class IN, found class " + std::to_string(raw.cls));
  if (!within(raw.name, origin_)) return finish(State::Failed, "a record outside the zone: " + raw.name);
  // Records of unsupported types are skipped: a zone may contain more than servers.
  if (!type) return state_;
  const auto data = canonicalData(*type, raw.data);
  if (!data) return finish(State::Failed, "invalid record data: " + raw.name + " " + nameOf(*type));
  return acceptRecord({raw.name, *type, raw.ttl > 0x7FFFFFFF ? 0 : raw.ttl, *data});
}

Transfer::State Transfer::take(const Message& m) {
  if (state_ != State::More) return state_;
  ++messages_;
  if (checkHeader(m) != State::More) return state_;
  for (const RawRecord& r : m.answer) {
    const State state = acceptRaw(r);
    if (state == State::Unfit || state == State::Failed) return state;
  }
  // A single SOA in the first message means that nothing is newer (RFC 1995, section 2).
  if (phase_ == Phase::Second && base_ != nullptr && m.answer.size() == 1) {
    const std::uint32_t serial = soaOf(finalSoa_.data)->serial;
    if (!later(serial, base_->serial()))
      return finish(State::UpToDate, "");  // after a newer SOA further messages follow
  }
  return state_;
}

Transfer::State Transfer::acceptRecord(const Record& r) {
  switch (phase_) {
    case Phase::Begin:
      if (r.type != Type::SOA || r.name != origin_)
        return finish(State::Failed,
                      "expected the SOA as the first record, found " + r.name + " " + nameOf(r.type));
      finalSoa_ = r;
      phase_ = Phase::Second;
      return state_;
    case Phase::Second:
      return acceptSecond(r);
    case Phase::FullZone:
      return acceptFullZone(r);
    case Phase::Removing:
      return acceptRemoval(r);
    case Phase::Adding:
      return acceptAddition(r);
    case Phase::Over:
      break;
  }
  return finish(State::Failed, "records after the end of the transfer");
}

Transfer::State Transfer::acceptSecond(const Record& r) {
  // A second, different SOA is the base version of the changes (RFC 1995, section 4).
  if (base_ != nullptr && r.type == Type::SOA && r.data != finalSoa_.data) {
    if (soaOf(r.data)->serial != base_->serial())
      return finish(State::Unfit, "changes are based on serial " + std::to_string(soaOf(r.data)->serial) +
                                      ", expected " + std::to_string(base_->serial()));
    zone_ = *base_;
    serial_ = base_->serial();
    phase_ = Phase::Removing;
    return state_;
  }
  phase_ = Phase::FullZone;
  zone_.add(finalSoa_);
  return acceptFullZone(r);
}

Transfer::State Transfer::acceptFullZone(const Record& r) {
  if (r.type == Type::SOA)
    return lastSoa(r) ? finish(State::Done, "") : finish(State::Failed, "a different SOA inside the zone");
  zone_.add(r);
  return state_;
}

Transfer::State Transfer::acceptRemoval(const Record& r) {
  if (r.type == Type::SOA) {
    if (!later(soaOf(r.data)->serial, serial_))
      return finish(State::Unfit, "the serial of the changes does not increase");
    serial_ = soaOf(r.data)->serial;
    zone_.add(r);
    phase_ = Phase::Adding;
    return state_;
  }
  if (!zone_.remove(r.name, r.type, r.data))
    return finish(State::Unfit, "removal of a record that does not exist: " + r.name);
  return state_;
}

Transfer::State Transfer::acceptAddition(const Record& r) {
  if (r.type == Type::SOA) {
    // This SOA ends the transfer, or begins the next change with the serial just reached.
    if (lastSoa(r) && serial_ == soaOf(finalSoa_.data)->serial) return finish(State::Done, "");
    if (soaOf(r.data)->serial != serial_)
      return finish(State::Unfit, "a change is not based on the preceding one");
    phase_ = Phase::Removing;
    return state_;
  }
  if (!zone_.add(r)) return finish(State::Unfit, "addition of a record that already exists: " + r.name);
  return state_;
}

}  // namespace peargrade::dns_zone
