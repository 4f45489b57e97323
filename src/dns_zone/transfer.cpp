#include "dns_zone/transfer.h"

namespace peargrade::dns_zone {

Transfer::Transfer(const std::string& origin, const Zone* now, std::size_t recordsMost)
    : origin_(origin), now_(now), recordsMost_(recordsMost), zone_(origin) {}

Message Transfer::question(std::uint16_t id) const {
  Message m;
  m.id = id;
  m.hasQuestion = true;
  m.name = origin_;
  m.type = now_ == nullptr ? kTypeAxfr : kTypeIxfr;
  if (now_ != nullptr) {
    const Zone::Set* soa = now_->find(origin_, Type::SOA);
    if (soa != nullptr) m.authority.push_back(rawOf({origin_, Type::SOA, soa->ttl, *soa->data.begin()}));
  }
  return m;
}

Transfer::State Transfer::end(State state, const std::string& why) {
  phase_ = Phase::Over;
  why_ = why;
  return state_ = state;
}

// What says that no transfer comes, before its records are looked at; More where nothing does.
Transfer::State Transfer::refusal(const Message& m) {
  if (!m.response || m.opcode != Opcode::Query) return end(State::Failed, "no answer to a transfer");
  if (m.rcode != Rcode::NoError) {
    // A primary that knows no changes says so in one of these ways (RFC 1995, section 4).
    const bool unknown = now_ != nullptr &&
                         (m.rcode == Rcode::NotImp || m.rcode == Rcode::FormErr || m.rcode == Rcode::Refused);
    return end(unknown ? State::Unfit : State::Failed, nameOf(m.rcode));
  }
  if (m.hasQuestion && m.name != origin_) return end(State::Failed, "a transfer of " + m.name);
  if (m.answer.empty()) return end(State::Failed, "a message without records");
  return State::More;
}

Transfer::State Transfer::raw(const RawRecord& raw) {
  if (phase_ == Phase::Over) return end(State::Failed, "records behind the end of the transfer");
  if (++records_ > recordsMost_)
    return end(State::Failed, "more than " + std::to_string(recordsMost_) + " records");
  const auto type = typeOf(raw.type);
  if (raw.cls != kIn) return end(State::Failed, "a record of another class");
  if (!within(raw.name, origin_)) return end(State::Failed, "a record out of the zone: " + raw.name);
  // What is not kept here is passed over, as a zone may hold more than servers.
  if (!type) return state_;
  const auto data = canonicalData(*type, raw.data);
  if (!data) return end(State::Failed, "data that does not fit: " + raw.name + " " + nameOf(*type));
  return record({raw.name, *type, raw.ttl > 0x7FFFFFFF ? 0 : raw.ttl, *data});
}

Transfer::State Transfer::take(const Message& m) {
  if (state_ != State::More) return state_;
  ++messages_;
  if (refusal(m) != State::More) return state_;
  for (const RawRecord& r : m.answer) {
    const State state = raw(r);
    if (state == State::Unfit || state == State::Failed) return state;
  }
  // One SOA alone in the first message: nothing newer (RFC 1995, section 2); a whole zone goes on.
  if (phase_ == Phase::Second && now_ != nullptr && m.answer.size() == 1) {
    const std::uint32_t serial = soaOf(final_.data)->serial;
    if (!later(serial, now_->serial()))
      return end(State::UpToDate, "");  // a newer one: over TCP the rest follows
  }
  return state_;
}

Transfer::State Transfer::record(const Record& r) {
  switch (phase_) {
    case Phase::Begin:
      if (r.type != Type::SOA || r.name != origin_)
        return end(State::Failed, "a transfer that does not begin with the SOA");
      final_ = r;
      phase_ = Phase::Second;
      return state_;
    case Phase::Second:
      return second(r);
    case Phase::Whole:
      return ofWhole(r);
    case Phase::Removing:
      return removed(r);
    case Phase::Adding:
      return added(r);
    case Phase::Over:
      break;
  }
  return end(State::Failed, "records behind the end of the transfer");
}

Transfer::State Transfer::second(const Record& r) {
  // A second SOA is the one that the changes build on (RFC 1995, section 4).
  if (now_ != nullptr && r.type == Type::SOA && r.data != final_.data) {
    if (soaOf(r.data)->serial != now_->serial())
      return end(State::Unfit, "changes from serial " + std::to_string(soaOf(r.data)->serial));
    zone_ = *now_;
    at_ = now_->serial();
    phase_ = Phase::Removing;
    return state_;
  }
  phase_ = Phase::Whole;
  zone_.add(final_);
  return ofWhole(r);
}

Transfer::State Transfer::ofWhole(const Record& r) {
  if (r.type == Type::SOA)
    return lastSoa(r) ? end(State::Done, "") : end(State::Failed, "an SOA amid the zone");
  zone_.add(r);
  return state_;
}

Transfer::State Transfer::removed(const Record& r) {
  if (r.type == Type::SOA) {
    if (!later(soaOf(r.data)->serial, at_)) return end(State::Unfit, "changes whose serial does not go up");
    at_ = soaOf(r.data)->serial;
    zone_.add(r);
    phase_ = Phase::Adding;
    return state_;
  }
  if (!zone_.remove(r.name, r.type, r.data))
    return end(State::Unfit, "a removal of what is not there: " + r.name);
  return state_;
}

Transfer::State Transfer::added(const Record& r) {
  if (r.type == Type::SOA) {
    // Either the next step begins, with what this one led to, or this is the end.
    if (lastSoa(r) && at_ == soaOf(final_.data)->serial) return end(State::Done, "");
    if (soaOf(r.data)->serial != at_)
      return end(State::Unfit, "a step that does not build on the one before");
    phase_ = Phase::Removing;
    return state_;
  }
  if (!zone_.add(r)) return end(State::Unfit, "an addition of what is there: " + r.name);
  return state_;
}

}  // namespace peargrade::dns_zone
