// Processes updates: checks permissions, recognizes repeated requests, and holds each answer back until its
// change is on disk. No I/O, clock or threads: the owner writes the batches and sends the answers.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dns_zone/fair_share.h"
#include "dns_zone/snapshot.h"
#include "dns_zone/tsig.h"
#include "dns_zone/update.h"

namespace peargrade::dns_zone {

/// Permits a key to change records of some names and types.
struct Grant {
  std::string key;       // canonical name
  std::string name;      // "a.example.org", or "*.example.org": the name and all below it
  std::set<Type> types;  // empty: all
};

/// Grants and limits. Each limit holds for all keys together; where several keys have grants, one key may use
/// at most half of what the others leave.
struct UpdateProcessorSettings {
  std::vector<Grant> grants;
  std::size_t remembered = 100000;  // answered requests kept; new ones are rejected at the limit
  std::size_t pending = 4096;       // accepted but not on disk yet
  std::size_t pendingBytes = std::size_t{24} << 20;  // memory of the pending changes
  std::size_t growthBytes = std::size_t{24} << 20;   // memory of the records that updates add to the zone
};

/// Memory of a change that is not on disk yet, and of one record in the zone, which is kept twice: with and
/// without the changes that are not on disk. Estimates in bytes.
std::size_t pendingMemory(const Difference& change);
std::size_t recordMemory(const Record& record);

/// Processes the updates of one zone. Times in Unix seconds unless they are Micros.
class UpdateProcessor {
 public:
  using Ticket = std::uint64_t;

  UpdateProcessor(Zone zone, std::vector<AnsweredRequest> requests, UpdateProcessorSettings settings);

  struct Taken {
    bool answered = false;  // send `answer` now; else once the ticket's batch is settled
    Ticket ticket = 0;
    std::string answer;  // "": send nothing
    Rcode rcode = Rcode::NoError;
    std::string code;  // for the log: "accepted", "repeated", "unsigned", "bad-key", "not-granted", ...
    std::string why;
  };
  /// Processes one received message with opcode UPDATE. `now` in Unix seconds.
  Taken take(const std::string& message, const Keys& keys, std::int64_t now);

  // ---- Batches: at most one is being written ----
  bool waiting() const { return !writing_ && !open_.empty(); }
  /// Starts a batch of all waiting updates and returns the journal entries to append; the caller must then
  /// call settled(). Empty if no waiting update changes the zone: call settled() at once.
  std::vector<std::string> begin();
  struct Answer {
    Ticket ticket;
    std::string bytes;
  };
  /// Ends the batch and returns its answers. If it is not on disk, reverts it together with all updates
  /// accepted since, and answers them with SERVFAIL.
  std::vector<Answer> settled(bool onDisk, const Keys& keys, std::int64_t now);

  /// The changes of the last settled batch, in order.
  const std::vector<Difference>& lastChanges() const { return lastChanges_; }
  const Zone& durable() const { return durable_; }  // the zone on disk
  const Zone& zone() const { return zone_; }        // including changes that are not on disk yet
  /// Encodes a snapshot; only allowed while no batch is being written.
  std::string snapshot(std::int64_t now, const std::vector<EndpointSince>& firstSeen = {},
                       Micros freshAt = 0) const;
  /// Replaces the zone after a file was read or a transfer completed; only allowed while no update waits.
  void replace(Zone zone);

 private:
  using Request = std::tuple<std::string, std::uint16_t, std::string>;  // key, id, MAC
  struct Pending {
    JournalEntry entry;
    std::vector<std::pair<Ticket, std::uint16_t>> tickets;
    std::string reply;  // unsigned
    bool changes = false;
  };

  std::optional<Taken> answerRepeated(const Message& m, const Checked& checked, const Keys& keys,
                                      std::int64_t now);
  Taken applyNew(const Message& m, const Checked& checked, const Keys& keys, std::int64_t now);
  static std::string encodeSignedReply(const Message& request, const Checked& checked, Rcode rcode,
                                       const Keys& keys, std::int64_t now);
  bool granted(const std::string& key, const RawRecord& change) const;
  void removeExpired(std::int64_t now);
  /// Why the limits do not permit a change by a key; nullptr if they do.
  const char* exceededLimit(const std::string& key, const Difference& change) const;
  void takeShares(const std::string& key, const Difference& change);
  /// Releases what a change uses only until it is on disk.
  void releasePending(const Pending& p);
  /// Releases all that a change uses, when it is reverted.
  void releaseReverted(const Pending& p);
  std::string signedReply(const Pending& p, Rcode rcode, const Keys& keys, std::int64_t now) const;

  UpdateProcessorSettings settings_;
  Zone durable_;
  Zone zone_;
  std::map<Request, AnsweredRequest> remembered_;
  std::multimap<std::int64_t, Request> expiries_;
  std::deque<Pending> open_;   // waiting for the next batch
  std::deque<Pending> batch_;  // being written
  std::vector<Difference> lastChanges_;
  bool writing_ = false;
  Ticket next_ = 1;

  // What each key uses of the limits.
  FairShare rememberedShare_;
  FairShare pendingShare_;
  FairShare pendingBytesShare_;
  FairShare growthShare_;
};

}  // namespace peargrade::dns_zone
