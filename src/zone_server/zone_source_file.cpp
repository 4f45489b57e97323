// ZoneSource and its zone file: watched, read on the worker, taken in by its serial.
#include <cstdio>

#include "zone_server/zone_source.h"

namespace peargrade::zone_server {

void ZoneSource::look(bool always) {
  watch_.cancel();
  if (looking_) return;
  looking_ = true;
  worker_.run(
      [this, op = op_, last = signature_, always, alive = std::weak_ptr<bool>(alive_)]() -> Worker::Done {
        const auto found = std::make_shared<FileReading>(readIfChanged(op, last, always));
        return [this, alive, found] {
          if (!alive.expired()) looked(*found);
        };
      });
}

void ZoneSource::looked(const FileReading& found) {
  looking_ = false;
  watch_.schedule(op_.watchEvery);
  if (!found.reading) return;
  const bool news = found.signature != signature_;
  signature_ = found.signature;
  const dns_zone::Reading& reading = *found.reading;
  if (!reading.mistakes.empty()) {
    // Told once for each state of the file; the zone that was read before stays in force.
    if (news) tellMistakes(reading.mistakes);
    return;
  }
  const dns_zone::Zone* now = zone();
  const dns_zone::SerialVerdict verdict = serialPolicy_.judge(now, reading.zone, found.accepted);
  if (const auto text = serialPolicy_.tell(verdict, now, reading.zone)) around_.log->error("zones") << *text;
  if (found.accepted &&
      (verdict == dns_zone::SerialVerdict::Accepted || verdict == dns_zone::SerialVerdict::Same)) {
    const std::string marker = acceptMarkerPath(op_.state, op_.label);
    worker_.run([marker]() -> Worker::Done {
      std::remove(marker.c_str());
      return nullptr;
    });
  }
  if (dns_zone::replacesZone(verdict)) take(reading.zone, verdict);
}

void ZoneSource::tellMistakes(const std::vector<dns_zone::Mistake>& mistakes) {
  std::size_t told = 0;
  for (const dns_zone::Mistake& m : mistakes) {
    if (++told > kLinesMost) break;
    around_.log->error("zones") << op_.label << ": " << m.text() << " code=zone-file";
  }
  around_.log->error("zones") << op_.label << ": " << mistakes.size() << " mistakes, the zone "
                              << (processor_ ? "that was read before stays in force" : "is empty")
                              << " code=zone-file";
}

}  // namespace peargrade::zone_server
