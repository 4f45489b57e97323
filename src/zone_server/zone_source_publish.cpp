// ZoneSource: reports the servers of the zone to the membership, each with the time since when it is known.
#include "zone_server/zone_source.h"

namespace peargrade::zone_server {

void ZoneSource::publish() {
  if (!processor_) return;
  const Micros now = context_.clock();
  const auto observe = [&](const std::set<std::string>& drained) {
    const Micros until =
        transferClient_ && transferClient_->expiresAt() != 0 ? transferClient_->expiresAt() : kNoExpiry;
    return observeZone(processor_->durable(), zone_.services, localityMap_, *context_.names, sourceIndex_,
                       now, until, drained);
  };
  const auto withStartTimes = [&](membership::Observation o) {
    for (membership::ServiceRecord& s : o.records) {
      const bool warm = !published_ && context_.firstAnswerWarm;
      const Micros since = firstSeen_.of(s.address, warm ? dns_zone::FirstSeen::kLongAgo : now);
      if (s.startedAt == 0) s.startedAt = since;
    }
    return o;
  };
  const ZoneObservation observation = observe({});
  firstSeen_.keep(observation.endpoints);
  // Report a drain even if an update of the same burst revoked it: only a restart of the server ends a drain.
  if (!drainedHosts_.empty()) observe_(withStartTimes(observe(std::exchange(drainedHosts_, {})).observation));
  logNotes(observation.notes);
  observe_(withStartTimes(observation.observation));
  published_ = true;
}

// Logs the notes when they have changed.
void ZoneSource::logNotes(const std::vector<std::string>& all) {
  std::string notes;
  for (const std::string& note : all) notes += note + ";";
  if (notes == loggedNotes_) return;
  std::size_t logged = 0;
  for (const std::string& note : all) {
    if (++logged > kMaxLogLines) break;
    context_.log->warn("zones") << zone_.label << ": " << note << " code=attribute";
  }
  loggedNotes_ = notes;
}

}  // namespace peargrade::zone_server
