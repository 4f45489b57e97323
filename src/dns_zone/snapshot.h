// The forms in which a zone and its changes are stored: records as on the wire (RFC 1035, section 3.2), with
// what is remembered of requests beside them. The store (src/files) adds lengths, checksums and a version.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dns_zone/first_seen.h"
#include "dns_zone/message.h"
#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

inline constexpr std::uint32_t kSnapshotVersion = 1;

// An accepted request: sent again, it gets the same answer and is not carried out again.
struct AnsweredRequest {
  std::string key, mac;
  std::uint16_t id = 0;
  Rcode rcode = Rcode::NoError;
  std::int64_t until = 0;  // Unix seconds; after that its signature is too old by itself
  std::int64_t at = 0;     // when it was accepted
};

// One change of a zone, with the request that brought it.
struct JournalEntry {
  Difference change;
  AnsweredRequest request;
};

// decodeJournalEntry gives nothing where the bytes are no entry.
std::string encodeJournalEntry(const JournalEntry& entry);
std::optional<JournalEntry> decodeJournalEntry(const std::string& bytes);

// All that is kept of a zone.
struct Snapshot {
  Zone zone;
  std::vector<AnsweredRequest> requests;
  std::vector<EndpointSince> firstSeen;
  Micros freshAt = 0;  // of a secondary: when its primary was last known to have nothing newer
};
// decodeSnapshot gives nothing where the bytes are no snapshot.
std::string encodeSnapshot(const Zone& zone, const std::vector<AnsweredRequest>& requests,
                           const std::vector<EndpointSince>& firstSeen = {}, Micros freshAt = 0);
std::optional<Snapshot> decodeSnapshot(const std::string& bytes);

}  // namespace peargrade::dns_zone
