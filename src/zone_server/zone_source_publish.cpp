// ZoneSource and the membership: the servers that the zone offers now, each with the time since when it does.
#include "zone_server/zone_source.h"

namespace peargrade::zone_server {

void ZoneSource::publish() {
  if (!processor_) return;
  const Micros now = around_.clock();
  const auto offered = [&](const std::set<std::string>& drained) {
    const Micros until =
        transferClient_ && transferClient_->expiresAt() != 0 ? transferClient_->expiresAt() : kForEver;
    return observeZone(processor_->durable(), op_.services, places_, *around_.names, number_, now, until,
                       drained);
  };
  const auto aged = [&](membership::Observation o) {
    for (membership::ServiceRecord& s : o.records) {
      const bool warm = !published_ && around_.firstAnswerWarm;
      const Micros since = firstSeen_.of(s.address, warm ? dns_zone::FirstSeen::kLongAgo : now);
      if (s.startedAt == 0) s.startedAt = since;
    }
    return o;
  };
  const ZoneObservation offer = offered({});
  firstSeen_.keep(offer.endpoints);
  // A drain that was taken back within the same burst was a drain all the same: it ends with a new start
  // only.
  if (!drained_.empty()) observe_(aged(offered(std::exchange(drained_, {})).observation));
  tellNotes(offer.notes);
  observe_(aged(offer.observation));
  published_ = true;
}

// Told when they change.
void ZoneSource::tellNotes(const std::vector<std::string>& all) {
  std::string notes;
  for (const std::string& note : all) notes += note + ";";
  if (notes == notes_) return;
  std::size_t told = 0;
  for (const std::string& note : all) {
    if (++told > kLinesMost) break;
    around_.log->warn("zones") << op_.label << ": " << note << " code=attribute";
  }
  notes_ = notes;
}

}  // namespace peargrade::zone_server
