// Stored formats of a zone and its changes: records with RDATA in wire format (RFC 1035, section 3.2) and the
// answered requests. The store (src/files) adds lengths, checksums and a version.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dns_zone/first_seen.h"
#include "dns_zone/message.h"
#include "dns_zone/zone.h"

namespace peargrade::dns_zone {

inline constexpr std::uint32_t kSnapshotVersion = 1;

/// An accepted request. A repetition gets the same answer and is not applied again.
struct AnsweredRequest {
  std::string key;  // name of the key
  std::string mac;
  std::uint16_t id = 0;
  Rcode rcode = Rcode::NoError;
  std::int64_t until = 0;  // Unix seconds; later its signature has expired
  std::int64_t at = 0;     // Unix seconds; when it was accepted
};

/// One change of a zone and the request that caused it.
struct JournalEntry {
  Difference change;
  AnsweredRequest request;
};

/// decodeJournalEntry returns nullopt if the bytes are malformed.
std::string encodeJournalEntry(const JournalEntry& entry);
std::optional<JournalEntry> decodeJournalEntry(const std::string& bytes);

/// The complete stored state of a zone.
struct Snapshot {
  Zone zone;
  std::vector<AnsweredRequest> requests;
  std::vector<EndpointSince> firstSeen;
  Micros freshAt = 0;  // secondary only: last time that the zone was confirmed as current
};
/// decodeSnapshot returns nullopt if the bytes are malformed.
std::string encodeSnapshot(const Zone& zone, const std::vector<AnsweredRequest>& requests,
                           const std::vector<EndpointSince>& firstSeen = {}, Micros freshAt = 0);
std::optional<Snapshot> decodeSnapshot(const std::string& bytes);

}  // namespace peargrade::dns_zone
