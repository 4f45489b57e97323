// ZoneSource: checks the zone file periodically, reads it on the worker and installs it if its serial
// permits.
#include <cstdio>

#include "zone_server/zone_source.h"

namespace peargrade::zone_server {

void ZoneSource::checkFile(bool always) {
  fileCheckTimer_.cancel();
  if (readingFile_) return;
  readingFile_ = true;
  worker_.run([this, zone = zone_, last = fileSignature_, always,
               alive = std::weak_ptr<bool>(alive_)]() -> Worker::Completion {
    const auto result = std::make_shared<FileReading>(readIfChanged(zone, last, always));
    return [this, alive, result] {
      if (!alive.expired()) onFileRead(*result);
    };
  });
}

void ZoneSource::onFileRead(const FileReading& result) {
  readingFile_ = false;
  fileCheckTimer_.schedule(zone_.watchEvery);
  if (!result.reading) return;
  const bool changed = result.signature != fileSignature_;
  fileSignature_ = result.signature;
  const dns_zone::Reading& reading = *result.reading;
  if (!reading.mistakes.empty()) {
    // Logged once for each state of the file. The current zone stays in force.
    if (changed) logMistakes(reading.mistakes);
    return;
  }
  const dns_zone::Zone* current = zone();
  const dns_zone::SerialVerdict verdict = serialPolicy_.judge(current, reading.zone, result.accepted);
  if (const auto text = serialPolicy_.tell(verdict, current, reading.zone))
    context_.log->error("zones") << *text;
  if (result.accepted &&
      (verdict == dns_zone::SerialVerdict::Accepted || verdict == dns_zone::SerialVerdict::Same)) {
    const std::string marker = acceptMarkerPath(zone_.state, zone_.label);
    worker_.run([marker]() -> Worker::Completion {
      std::remove(marker.c_str());
      return nullptr;
    });
  }
  if (dns_zone::replacesZone(verdict)) installZone(reading.zone, verdict);
}

void ZoneSource::logMistakes(const std::vector<dns_zone::Mistake>& mistakes) {
  std::size_t logged = 0;
  for (const dns_zone::Mistake& m : mistakes) {
    if (++logged > kMaxLogLines) break;
    context_.log->error("zones") << zone_.label << ": " << m.text() << " code=zone-file";
  }
  context_.log->error("zones") << zone_.label << ": " << mistakes.size()
                               << " errors in the zone file, the zone "
                               << (processor_ ? "that was read before stays in force" : "is empty")
                               << " code=zone-file";
}

}  // namespace peargrade::zone_server
