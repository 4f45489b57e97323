// Takes updates in: who may change what, what was carried out already, what is to be on disk before it is
// answered. Free of I/O, clock and threads: whoever holds it writes the batches and sends the answers.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dns_zone/snapshot.h"
#include "dns_zone/tsig.h"
#include "dns_zone/update.h"

namespace peargrade::dns_zone {

// Which key may change which names and types.
struct Grant {
  std::string key;       // canonical name
  std::string name;      // "a.example.org", or "*.example.org": it and all below
  std::set<Type> types;  // empty: all
};

// Grants, and how many updates are held at most.
struct UpdateProcessorSettings {
  std::vector<Grant> grants;
  std::size_t remembered = 100000;  // requests that may be sent again; when full, updates wait for room
  std::size_t pending = 4096;       // accepted and not on disk yet
};

// The updates of one zone. Times in Unix seconds unless they are Micros.
class UpdateProcessor {
 public:
  using Ticket = std::uint64_t;

  UpdateProcessor(Zone zone, std::vector<AnsweredRequest> requests, UpdateProcessorSettings settings);

  struct Taken {
    bool answered = false;  // `answer` is to be sent now; else once the ticket's batch is settled
    Ticket ticket = 0;
    std::string answer;  // "": nothing is sent, as it was no request
    Rcode rcode = Rcode::NoError;
    std::string code;  // for the log: "accepted", "repeated", "unsigned", "bad-key", "not-granted", ...
    std::string why;
  };
  // Of one message with opcode UPDATE. `now` in Unix seconds.
  Taken take(const std::string& message, const Keys& keys, std::int64_t now);

  // ---- Batches: one is on its way to the disk at most ----
  bool waiting() const { return !writing_ && !open_.empty(); }
  // What is to be appended; settled() has to follow. Empty where all that waits changes nothing: settle it at
  // once.
  std::vector<std::string> begin();
  struct Answer {
    Ticket ticket;
    std::string bytes;
  };
  // The batch is on disk, or it is not: then it is taken back with all that was accepted since, and answered
  // SERVFAIL.
  std::vector<Answer> settled(bool onDisk, const Keys& keys, std::int64_t now);

  // What the batch that was settled last brought, in order.
  const std::vector<Difference>& lastChanges() const { return lastChanges_; }
  const Zone& durable() const { return durable_; }  // what is on disk
  const Zone& zone() const { return zone_; }        // with what is on its way there
  // What a snapshot holds; only while nothing is being written.
  std::string snapshot(std::int64_t now, const std::vector<EndpointSince>& firstSeen = {},
                       Micros freshAt = 0) const;
  // Another zone takes the place of this one (a file was read, a transfer came). Only while nothing waits.
  void replace(Zone zone);

 private:
  using Request = std::tuple<std::string, std::uint16_t, std::string>;  // key, id, MAC
  struct Pending {
    JournalEntry entry;
    std::vector<std::pair<Ticket, std::uint16_t>> tickets;
    std::string reply;  // without its signature
    bool changes = false;
  };

  std::optional<Taken> repeated(const Message& m, const Checked& checked, const Keys& keys, std::int64_t now);
  Taken carryOut(const Message& m, const Checked& checked, const Keys& keys, std::int64_t now);
  static std::string signedNow(const Message& request, const Checked& checked, Rcode rcode, const Keys& keys,
                               std::int64_t now);
  bool granted(const std::string& key, const RawRecord& change) const;
  void forget(std::int64_t now);
  std::string signedReply(const Pending& p, Rcode rcode, const Keys& keys, std::int64_t now) const;

  UpdateProcessorSettings settings_;
  Zone durable_, zone_;
  std::map<Request, AnsweredRequest> remembered_;
  std::multimap<std::int64_t, Request> expiries_;
  std::deque<Pending> open_, batch_;
  std::vector<Difference> lastChanges_;
  bool writing_ = false;
  Ticket next_ = 1;
};

}  // namespace peargrade::dns_zone
