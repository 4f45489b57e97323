// ZoneSource: checks the zone file periodically, reads it on the worker and installs it if its serial
// permits. Where the zone takes updates, the file seeds an empty store; later it is only installed if an
// operator has accepted its serial.
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
  const bool isFirstReading = fileSignature_.empty();
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
  const bool isStoreAuthoritative = zone_.listen && current != nullptr;
  if (isStoreAuthoritative) return onFileBesideStore(result, verdict, changed, isFirstReading);
  if (const auto text = serialPolicy_.tell(verdict, current, reading.zone))
    context_.log->error("zones") << *text;
  if (result.accepted &&
      (verdict == dns_zone::SerialVerdict::Accepted || verdict == dns_zone::SerialVerdict::Same)) {
    removeAcceptMarker();
  }
  if (dns_zone::replacesZone(verdict)) installZone(reading.zone, verdict);
}

void ZoneSource::onFileBesideStore(const FileReading& result, dns_zone::SerialVerdict verdict, bool changed,
                                   bool isFirstReading) {
  const dns_zone::Zone& file = result.reading->zone;
  const bool isAccepted = result.accepted == file.serial();
  if (isAccepted) removeAcceptMarker();
  if (verdict == dns_zone::SerialVerdict::Same) return;
  if (isAccepted) return installZone(file, dns_zone::SerialVerdict::Accepted);
  // After a start, an older file is usually the one that has seeded the store.
  const bool isReplaced = !isFirstReading || verdict == dns_zone::SerialVerdict::Newer;
  if (!changed || !isReplaced) return;
  context_.log->warn("zones") << zone_.label << ": file " << zone_.file << " with serial " << file.serial()
                              << " is not loaded: the store is authoritative, with serial "
                              << zone()->serial()
                              << " code=store-authoritative; to replace the store, updates included: "
                              << "peargrade zone accept --state " << zone_.state << " --zone " << zone_.label
                              << " --serial " << file.serial();
}

void ZoneSource::removeAcceptMarker() {
  const std::string marker = acceptMarkerPath(zone_.state, zone_.label);
  worker_.run([marker]() -> Worker::Completion {
    std::remove(marker.c_str());
    return nullptr;
  });
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
