#include "dns_zone/update_processor.h"

#include <algorithm>

namespace peargrade::dns_zone {
namespace {

constexpr std::size_t kHeaderSize = 12;  // of a message (RFC 1035, section 4.1.1)
constexpr std::size_t kMaxTickets = 8;   // of one request while it is being written
// Memory of a record or a change apart from its text: nodes, strings and allocation overhead, in bytes.
constexpr std::size_t kRecordOverheadBytes = 480;
constexpr std::size_t kPendingOverheadBytes = 512;
constexpr std::size_t kPendingRecordOverheadBytes = 128;

std::string replyTo(const Message& request, Rcode rcode) {
  Message reply;
  reply.id = request.id;
  reply.response = true;
  reply.opcode = request.opcode;
  reply.rcode = rcode;
  reply.hasQuestion = request.hasQuestion;
  reply.name = request.name;
  reply.type = request.type;
  reply.cls = request.cls;
  return encodeMessage(reply);
}

// Sets the rcode, the low four bits of the fourth byte.
std::string withRcode(std::string reply, Rcode rcode) {
  reply[3] = static_cast<char>((reply[3] & 0xF0) | static_cast<int>(rcode));
  return reply;
}

// The reply to a malformed request; "" (send nothing) if the header is incomplete or the message is itself a
// response: replying to responses could loop for ever.
std::string replyToMalformed(const std::string& bytes) {
  if (bytes.size() < kHeaderSize || (bytes[2] & 0x80) != 0) return "";
  Message request;
  request.id = static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                          static_cast<unsigned char>(bytes[1]));
  request.opcode = Opcode::Update;
  return replyTo(request, Rcode::FormErr);
}

std::size_t keyCount(const std::vector<Grant>& grants) {
  std::set<std::string> keys;
  for (const Grant& grant : grants) keys.insert(grant.key);
  return keys.size();
}

std::size_t memoryOf(const std::vector<Record>& records) {
  std::size_t bytes = 0;
  for (const Record& record : records) bytes += recordMemory(record);
  return bytes;
}

std::size_t addedMemory(const Difference& change) {
  const std::size_t added = memoryOf(change.added);
  const std::size_t removed = memoryOf(change.removed);
  return added > removed ? added - removed : 0;
}

std::size_t removedMemory(const Difference& change) {
  const std::size_t added = memoryOf(change.added);
  const std::size_t removed = memoryOf(change.removed);
  return removed > added ? removed - added : 0;
}

const char* codeOf(TsigError error) {
  switch (error) {
    case TsigError::BadSig:
      return "bad-signature";
    case TsigError::BadKey:
      return "bad-key";
    case TsigError::BadTime:
      return "bad-time";
    case TsigError::BadTrunc:
      return "bad-truncation";
    case TsigError::None:
      break;
  }
  return "bad-form";
}

}  // namespace

std::size_t recordMemory(const Record& record) {
  return kRecordOverheadBytes + 2 * (record.name.size() + record.data.size());
}

std::size_t pendingMemory(const Difference& change) {
  std::size_t bytes = kPendingOverheadBytes;
  for (const auto* records : {&change.removed, &change.added}) {
    for (const Record& record : *records)
      bytes += kPendingRecordOverheadBytes + 2 * (record.name.size() + record.data.size());
  }
  return bytes;
}

UpdateProcessor::UpdateProcessor(Zone zone, std::vector<AnsweredRequest> requests,
                                 UpdateProcessorSettings settings)
    : settings_(std::move(settings)),
      durable_(zone),
      zone_(std::move(zone)),
      rememberedShare_(settings_.remembered, keyCount(settings_.grants)),
      pendingShare_(settings_.pending, keyCount(settings_.grants)),
      pendingBytesShare_(settings_.pendingBytes, keyCount(settings_.grants)),
      growthShare_(settings_.growthBytes, keyCount(settings_.grants)) {
  for (AnsweredRequest& r : requests) {
    const Request request{r.key, r.id, r.mac};
    expiries_.emplace(r.until, request);
    rememberedShare_.take(r.key, 1);
    remembered_[request] = std::move(r);
  }
}

const char* UpdateProcessor::exceededLimit(const std::string& key, const Difference& change) const {
  if (!rememberedShare_.allows(key, 1)) return "limit of remembered updates reached";
  if (!pendingShare_.allows(key, 1) || !pendingBytesShare_.allows(key, pendingMemory(change)))
    return "limit of pending updates reached";
  const std::size_t growth = addedMemory(change);
  if (growth > 0 && !growthShare_.allows(key, growth)) return "limit of the growth of the zone reached";
  return nullptr;
}

void UpdateProcessor::takeShares(const std::string& key, const Difference& change) {
  rememberedShare_.take(key, 1);
  pendingShare_.take(key, 1);
  pendingBytesShare_.take(key, pendingMemory(change));
  growthShare_.take(key, addedMemory(change));
  growthShare_.release(key, removedMemory(change));
}

void UpdateProcessor::releasePending(const Pending& p) {
  const std::string& key = p.entry.request.key;
  pendingShare_.release(key, 1);
  pendingBytesShare_.release(key, pendingMemory(p.entry.change));
  if (!p.changes) rememberedShare_.release(key, 1);
}

void UpdateProcessor::releaseReverted(const Pending& p) {
  const std::string& key = p.entry.request.key;
  releasePending(p);
  if (p.changes) rememberedShare_.release(key, 1);
  growthShare_.release(key, addedMemory(p.entry.change));
}

bool UpdateProcessor::granted(const std::string& key, const RawRecord& change) const {
  const auto type = typeFromNumber(change.type);
  return std::any_of(settings_.grants.begin(), settings_.grants.end(), [&](const Grant& g) {
    const bool below = g.name.compare(0, 2, "*.") == 0;
    const bool name = below ? within(change.name, g.name.substr(2)) : change.name == g.name;
    // Deletion of all types of a name needs a grant for all types.
    return g.key == key && name && (g.types.empty() || (type && g.types.count(*type) != 0));
  });
}

void UpdateProcessor::removeExpired(std::int64_t now) {
  while (!expiries_.empty() && expiries_.begin()->first < now) {
    if (remembered_.erase(expiries_.begin()->second) > 0)
      rememberedShare_.release(std::get<0>(expiries_.begin()->second), 1);
    expiries_.erase(expiries_.begin());
  }
}

std::string UpdateProcessor::signedReply(const Pending& p, Rcode rcode, const Keys& keys,
                                         std::int64_t now) const {
  const std::string reply = withRcode(p.reply, rcode);
  const Key* key = keys.find(p.entry.request.key);
  std::string mac;
  return key == nullptr ? reply : sign(reply, *key, now, mac, p.entry.request.mac);
}

UpdateProcessor::Taken UpdateProcessor::take(const std::string& bytes, const Keys& keys, std::int64_t now) {
  Taken taken;
  taken.answered = true;
  const auto decoded = decodeMessage(bytes);
  if (!decoded) {
    taken.code = "bad-form";
    taken.rcode = Rcode::FormErr;
    taken.answer = replyToMalformed(bytes);
    return taken;
  }
  const Message& m = *decoded;
  if (m.response) {
    taken.code = "no-request";
    return taken;
  }
  const auto refuse = [&](Rcode rcode, const std::string& code, const std::string& why) {
    taken.rcode = rcode;
    taken.code = code;
    taken.why = why;
    taken.answer = replyTo(m, rcode);
    return taken;
  };
  if (m.opcode != Opcode::Update)
    return refuse(Rcode::NotImp, "not-implemented",
                  "expected opcode UPDATE, found " + std::to_string(static_cast<int>(m.opcode)));
  if (!m.tsigAt) return refuse(Rcode::Refused, "unsigned", "update without a TSIG signature");
  const Checked checked = check(bytes, m, keys, now);
  if (checked.rcode != Rcode::NoError) {
    refuse(checked.rcode, codeOf(checked.error), checked.why);
    taken.answer = signRefusal(taken.answer, checked, keys, now);
    return taken;
  }
  removeExpired(now);
  if (const auto again = answerRepeated(m, checked, keys, now)) return *again;
  return applyNew(m, checked, keys, now);
}

std::string UpdateProcessor::encodeSignedReply(const Message& request, const Checked& checked, Rcode rcode,
                                               const Keys& keys, std::int64_t now) {
  std::string mac;
  return sign(replyTo(request, rcode), *keys.find(checked.key), now, mac, checked.mac);
}

// Answers a repeated request, which is still being written or was answered before; nullopt for a new one.
std::optional<UpdateProcessor::Taken> UpdateProcessor::answerRepeated(const Message& m,
                                                                      const Checked& checked,
                                                                      const Keys& keys, std::int64_t now) {
  Taken taken;
  taken.answered = true;
  taken.code = "repeated";
  const Request request{checked.key, m.id, checked.mac};
  for (auto* queue : {&batch_, &open_}) {
    for (Pending& p : *queue) {
      if (Request{p.entry.request.key, p.entry.request.id, p.entry.request.mac} != request) continue;
      // The number of answers to one request is limited; further repetitions get none.
      if (p.tickets.size() >= kMaxTickets) return taken;
      taken.answered = false;
      taken.ticket = next_++;
      p.tickets.emplace_back(taken.ticket, m.id);
      return taken;
    }
  }
  const auto known = remembered_.find(request);
  if (known == remembered_.end()) return std::nullopt;
  taken.rcode = known->second.rcode;
  taken.answer = encodeSignedReply(m, checked, taken.rcode, keys, now);
  return taken;
}

// Applies a signed request that is not a repetition.
UpdateProcessor::Taken UpdateProcessor::applyNew(const Message& m, const Checked& checked, const Keys& keys,
                                                 std::int64_t now) {
  Taken taken;
  taken.answered = true;
  const auto refuse = [&](Rcode rcode, const char* code, const std::string& why) {
    taken.rcode = rcode;
    taken.code = code;
    taken.why = why;
    taken.answer = encodeSignedReply(m, checked, rcode, keys, now);
    return taken;
  };
  for (const RawRecord& change : m.authority) {
    if (within(change.name, zone_.origin()) && !granted(checked.key, change))
      return refuse(Rcode::Refused, "not-granted", "key " + checked.key + " may not change " + change.name);
  }
  // A request that cannot be remembered could be applied twice, so it is rejected. Checked before the update
  // is applied, so that a key beyond its limits costs little.
  if (const char* const limit = exceededLimit(checked.key, {}))
    return refuse(Rcode::ServFail, "crowded", limit);
  const UpdateResult applied = apply(zone_, m);
  if (const char* const limit = exceededLimit(checked.key, applied.change)) {
    undo(zone_, applied.change);
    return refuse(Rcode::ServFail, "crowded", limit);
  }
  taken.rcode = applied.rcode;
  taken.code = applied.rcode == Rcode::NoError ? "accepted" : "refused";
  taken.why = applied.why;
  const bool changes = !applied.change.empty();
  // An answer that depends on changes not yet on disk waits for them.
  if (!changes && open_.empty() && batch_.empty()) {
    taken.answer = encodeSignedReply(m, checked, applied.rcode, keys, now);
    return taken;
  }
  Pending p;
  p.entry.change = applied.change;
  p.entry.request = {checked.key,
                     checked.mac,
                     m.id,
                     applied.rcode,
                     static_cast<std::int64_t>(checked.signedAt) + checked.fudge,
                     now};
  p.reply = replyTo(m, applied.rcode);
  p.changes = changes;
  takeShares(checked.key, applied.change);
  taken.answered = false;
  taken.ticket = next_++;
  p.tickets.emplace_back(taken.ticket, m.id);
  open_.push_back(std::move(p));
  return taken;
}

std::vector<std::string> UpdateProcessor::begin() {
  writing_ = true;
  batch_ = std::move(open_);
  open_.clear();
  std::vector<std::string> entries;
  for (const Pending& p : batch_) {
    if (p.changes) entries.push_back(encodeJournalEntry(p.entry));
  }
  return entries;
}

std::vector<UpdateProcessor::Answer> UpdateProcessor::settled(bool onDisk, const Keys& keys,
                                                              std::int64_t now) {
  std::vector<Answer> answers;
  writing_ = false;
  lastChanges_.clear();
  const auto addAnswers = [&](const Pending& p, Rcode rcode) {
    for (const auto& [ticket, id] : p.tickets) answers.push_back({ticket, signedReply(p, rcode, keys, now)});
  };
  if (!onDisk) {
    // Revert the latest change first, so that each is reverted from the state that it produced.
    for (auto* queue : {&open_, &batch_}) {
      for (auto p = queue->rbegin(); p != queue->rend(); ++p) undo(zone_, p->entry.change);
    }
    for (auto* queue : {&batch_, &open_}) {
      for (const Pending& p : *queue) {
        releaseReverted(p);
        addAnswers(p, Rcode::ServFail);
      }
      queue->clear();
    }
    return answers;
  }
  for (Pending& p : batch_) {
    redo(durable_, p.entry.change);
    if (p.changes) lastChanges_.push_back(p.entry.change);
    addAnswers(p, p.entry.request.rcode);
    releasePending(p);
    if (!p.changes) continue;
    const Request request{p.entry.request.key, p.entry.request.id, p.entry.request.mac};
    expiries_.emplace(p.entry.request.until, request);
    remembered_[request] = std::move(p.entry.request);
  }
  batch_.clear();
  return answers;
}

std::string UpdateProcessor::snapshot(std::int64_t now, const std::vector<EndpointSince>& firstSeen,
                                      Micros freshAt) const {
  std::vector<AnsweredRequest> requests;
  for (const auto& [request, r] : remembered_) {
    if (r.until >= now) requests.push_back(r);
  }
  return encodeSnapshot(durable_, requests, firstSeen, freshAt);
}

void UpdateProcessor::replace(Zone zone) {
  durable_ = zone;
  zone_ = std::move(zone);
}

}  // namespace peargrade::dns_zone
