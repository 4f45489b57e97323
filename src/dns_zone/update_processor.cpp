#include "dns_zone/update_processor.h"

#include <algorithm>

namespace peargrade::dns_zone {
namespace {

constexpr std::size_t kHeaderSize = 12;  // of a message (RFC 1035, section 4.1.1)
constexpr std::size_t kMaxTickets = 8;   // of one request while it is being written

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

UpdateProcessor::UpdateProcessor(Zone zone, std::vector<AnsweredRequest> requests,
                                 UpdateProcessorSettings settings)
    : settings_(std::move(settings)), durable_(zone), zone_(std::move(zone)) {
  for (AnsweredRequest& r : requests) {
    const Request request{r.key, r.id, r.mac};
    expiries_.emplace(r.until, request);
    remembered_[request] = std::move(r);
  }
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
    remembered_.erase(expiries_.begin()->second);
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
  // A request that cannot be remembered could be applied twice, so it is rejected.
  if (remembered_.size() + open_.size() + batch_.size() >= settings_.remembered ||
      open_.size() >= settings_.pending)
    return refuse(Rcode::ServFail, "crowded", "limit of pending or remembered updates reached");
  const UpdateResult applied = apply(zone_, m);
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
      for (const Pending& p : *queue) addAnswers(p, Rcode::ServFail);
      queue->clear();
    }
    return answers;
  }
  for (Pending& p : batch_) {
    redo(durable_, p.entry.change);
    if (p.changes) lastChanges_.push_back(p.entry.change);
    addAnswers(p, p.entry.request.rcode);
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
