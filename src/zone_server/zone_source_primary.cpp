// ZoneSource as a secondary: installs transferred zones and answers NOTIFY messages (RFC 1996).
#include <cstdio>

#include "zone_server/zone_source.h"

namespace peargrade::zone_server {

void ZoneSource::startTransfers() {
  TransferClient::Handlers handlers;
  handlers.currentZone = [this] { return zone(); };
  handlers.zoneReceived = [this](const dns_zone::Zone& zone) { return onZoneReceived(zone); };
  handlers.upToDate = [this] { onUpToDate(); };
  transferClient_ = std::make_unique<TransferClient>(context_.base, zone_.label, zone_.origin,
                                                     zone_.primaries, context_.clock, *context_.log,
                                                     TransferClient::Limits{}, std::move(handlers));
  transferClient_->begin(confirmedAt_);
}

bool ZoneSource::onZoneReceived(const dns_zone::Zone& zone) {
  if (zone.find(zone_.origin, dns_zone::Type::SOA) == nullptr) return false;
  const dns_zone::Zone* current = this->zone();
  // This reads a small file on the event loop, which is acceptable because transfers are rare.
  const std::optional<std::uint32_t> accepted = acceptedSerial(zone_);
  const dns_zone::SerialVerdict verdict = serialPolicy_.judge(current, zone, accepted);
  if (const auto text = serialPolicy_.tell(verdict, current, zone)) context_.log->error("zones") << *text;
  if (verdict == dns_zone::SerialVerdict::Same) return true;
  if (!dns_zone::replacesZone(verdict)) return false;
  if (accepted) std::remove(acceptMarkerPath(zone_.state, zone_.label).c_str());
  confirmedAt_ = storedConfirmedAt_ = context_.clock();
  installZone(zone, verdict);
  return true;
}

// A primary has confirmed the zone, which extends its expiry. The time is stored at most once in an eighth of
// the expire interval, so that it is approximately known after a restart.
void ZoneSource::onUpToDate() {
  confirmedAt_ = context_.clock();
  publishTimer_.schedule(0);
  if (zone_.state.empty() || storeUnusable_ || !processor_) return;
  const Micros expire = static_cast<Micros>(zone()->soa().expire) * 1000000;
  if (confirmedAt_ - storedConfirmedAt_ < expire / 8) return;
  storedConfirmedAt_ = confirmedAt_;
  compact();
}

// Answers at once (RFC 1996, section 3.7). The serial in the NOTIFY is not trusted: the client queries the
// SOA.
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
  const bool fromPrimary = transferClient_ && m->hasQuestion && m->name == zone_.origin &&
                           transferClient_->onNotify(peer.substr(0, peer.rfind(':')));
  if (!fromPrimary) {
    answer.rcode = dns_zone::Rcode::Refused;
    context_.log->debug("zones") << zone_.label << ": NOTIFY from " << peer << " refused";
  }
  reply(dns_zone::encodeMessage(answer));
}

}  // namespace peargrade::zone_server
