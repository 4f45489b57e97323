// ZoneSource as a secondary: transfers taken in, NOTIFY messages answered (RFC 1996).
#include <cstdio>

#include "zone_server/zone_source.h"

namespace peargrade::zone_server {

void ZoneSource::follow() {
  TransferClient::Handlers handlers;
  handlers.held = [this] { return zone(); };
  handlers.came = [this](const dns_zone::Zone& zone) { return came(zone); };
  handlers.fresh = [this] { fresh(); };
  transferClient_ =
      std::make_unique<TransferClient>(around_.base, op_.label, op_.origin, op_.primaries, around_.clock,
                                       *around_.log, TransferClient::Limits{}, std::move(handlers));
  transferClient_->begin(freshAt_);
}

bool ZoneSource::came(const dns_zone::Zone& zone) {
  if (zone.find(op_.origin, dns_zone::Type::SOA) == nullptr) return false;
  const dns_zone::Zone* now = this->zone();
  // Read when a transfer is at hand, which is seldom.
  const std::optional<std::uint32_t> accepted = acceptedSerial(op_);
  const dns_zone::SerialVerdict verdict = serialPolicy_.judge(now, zone, accepted);
  if (const auto text = serialPolicy_.tell(verdict, now, zone)) around_.log->error("zones") << *text;
  if (verdict == dns_zone::SerialVerdict::Same) return true;
  if (!dns_zone::replacesZone(verdict)) return false;
  if (accepted) std::remove(acceptMarkerPath(op_.state, op_.label).c_str());
  freshAt_ = freshStored_ = around_.clock();
  take(zone, verdict);
  return true;
}

// The primary has nothing newer: what is held is good for longer. Written down now and then, so that a
// restart knows.
void ZoneSource::fresh() {
  freshAt_ = around_.clock();
  publishSoon_.schedule(0);
  if (op_.state.empty() || broken_ || !processor_) return;
  const Micros expire = static_cast<Micros>(zone()->soa().expire) * 1000000;
  if (freshAt_ - freshStored_ < expire / 8) return;
  freshStored_ = freshAt_;
  compact();
}

// From a primary, answered at once (RFC 1996, section 3.7); what it says of the serial is looked up, not
// believed.
void ZoneSource::onNotify(const std::string& message, const std::string& peer, const Listener::Reply& reply) {
  const auto m = dns_zone::decodeMessage(message);
  if (!m || m->response) return;
  dns_zone::Message answer;
  answer.id = m->id;
  answer.response = answer.authoritative = true;
  answer.opcode = dns_zone::Opcode::Notify;
  answer.hasQuestion = m->hasQuestion;
  answer.name = m->name;
  answer.type = m->type;
  const bool ours = transferClient_ && m->hasQuestion && m->name == op_.origin &&
                    transferClient_->notified(peer.substr(0, peer.rfind(':')));
  if (!ours) {
    answer.rcode = dns_zone::Rcode::Refused;
    around_.log->debug("zones") << op_.label << ": notice of " << peer << " refused";
  }
  reply(dns_zone::encodeMessage(answer));
}

}  // namespace peargrade::zone_server
