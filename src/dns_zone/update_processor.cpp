#include "dns_zone/update_processor.h"

#include <algorithm>

namespace peargrade::dns_zone {
namespace {

constexpr std::size_t kHeaderSize = 12;  // of a message (RFC 1035, section 4.1.1)
constexpr std::size_t kTicketsMost = 8;  // of one request while it is on its way to the disk

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

// The rcode of a message stands in its fourth byte.
std::string withRcode(std::string reply, Rcode rcode) {
  reply[3] = static_cast<char>((reply[3] & 0xF0) | static_cast<int>(rcode));
  return reply;
}

// The answer to bytes that are no message: a header at least, and no answer, as answering answers would go
// round for ever. "" where nothing is sent.
std::string replyToMalformed(const std::string& bytes) {
  if (bytes.size() < kHeaderSize || (bytes[2] & 0x80) != 0) return "";
  Message bare;
  bare.id = static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                       static_cast<unsigned char>(bytes[1]));
  bare.opcode = Opcode::Update;
  return replyTo(bare, Rcode::FormErr);
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
  const auto type = typeOf(change.type);
  return std::any_of(settings_.grants.begin(), settings_.grants.end(), [&](const Grant& g) {
    const bool below = g.name.compare(0, 2, "*.") == 0;
    const bool name = below ? within(change.name, g.name.substr(2)) : change.name == g.name;
    // Who deletes all types of a name needs all of them.
    return g.key == key && name && (g.types.empty() || (type && g.types.count(*type) != 0));
  });
}

void UpdateProcessor::forget(std::int64_t now) {
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
    return refuse(Rcode::NotImp, "not-implemented", "an opcode other than UPDATE");
  if (!m.tsigAt) return refuse(Rcode::Refused, "unsigned", "an update without a signature");
  const Checked checked = check(bytes, m, keys, now);
  if (checked.rcode != Rcode::NoError) {
    refuse(checked.rcode, codeOf(checked.error), checked.why);
    taken.answer = signRefusal(taken.answer, checked, keys, now);
    return taken;
  }
  forget(now);
  if (const auto again = repeated(m, checked, keys, now)) return *again;
  return carryOut(m, checked, keys, now);
}

std::string UpdateProcessor::signedNow(const Message& request, const Checked& checked, Rcode rcode,
                                       const Keys& keys, std::int64_t now) {
  std::string mac;
  return sign(replyTo(request, rcode), *keys.find(checked.key), now, mac, checked.mac);
}

// The same request again: on its way to the disk, or answered before.
std::optional<UpdateProcessor::Taken> UpdateProcessor::repeated(const Message& m, const Checked& checked,
                                                                const Keys& keys, std::int64_t now) {
  Taken taken;
  taken.answered = true;
  taken.code = "repeated";
  const Request request{checked.key, m.id, checked.mac};
  for (auto* queue : {&batch_, &open_}) {
    for (Pending& p : *queue) {
      if (Request{p.entry.request.key, p.entry.request.id, p.entry.request.mac} != request) continue;
      // Who sends it again and again while it is on its way gets so many answers; the first is on its way
      // too.
      if (p.tickets.size() >= kTicketsMost) return taken;
      taken.answered = false;
      taken.ticket = next_++;
      p.tickets.emplace_back(taken.ticket, m.id);
      return taken;
    }
  }
  const auto known = remembered_.find(request);
  if (known == remembered_.end()) return std::nullopt;
  taken.rcode = known->second.rcode;
  taken.answer = signedNow(m, checked, taken.rcode, keys, now);
  return taken;
}

// A signed request that was not met before.
UpdateProcessor::Taken UpdateProcessor::carryOut(const Message& m, const Checked& checked, const Keys& keys,
                                                 std::int64_t now) {
  Taken taken;
  taken.answered = true;
  const auto refuse = [&](Rcode rcode, const char* code, const std::string& why) {
    taken.rcode = rcode;
    taken.code = code;
    taken.why = why;
    taken.answer = signedNow(m, checked, rcode, keys, now);
    return taken;
  };
  for (const RawRecord& change : m.authority) {
    if (within(change.name, zone_.origin()) && !granted(checked.key, change))
      return refuse(Rcode::Refused, "not-granted", "key " + checked.key + " may not change " + change.name);
  }
  // Who is not remembered could be carried out twice: no room, no update.
  if (remembered_.size() + open_.size() + batch_.size() >= settings_.remembered ||
      open_.size() >= settings_.pending)
    return refuse(Rcode::ServFail, "crowded", "more updates than may wait or be remembered");
  const Applied applied = apply(zone_, m);
  taken.rcode = applied.rcode;
  taken.code = applied.rcode == Rcode::NoError ? "accepted" : "refused";
  taken.why = applied.why;
  const bool changes = !applied.change.empty();
  // What rests on changes that are not on disk yet is answered with them.
  if (!changes && open_.empty() && batch_.empty()) {
    taken.answer = signedNow(m, checked, applied.rcode, keys, now);
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
  const auto tell = [&](const Pending& p, Rcode rcode) {
    for (const auto& [ticket, id] : p.tickets) answers.push_back({ticket, signedReply(p, rcode, keys, now)});
  };
  if (!onDisk) {
    // Latest first: each is taken back from the zone as it found it.
    for (auto* queue : {&open_, &batch_}) {
      for (auto p = queue->rbegin(); p != queue->rend(); ++p) undo(zone_, p->entry.change);
    }
    for (auto* queue : {&batch_, &open_}) {
      for (const Pending& p : *queue) tell(p, Rcode::ServFail);
      queue->clear();
    }
    return answers;
  }
  for (Pending& p : batch_) {
    redo(durable_, p.entry.change);
    if (p.changes) lastChanges_.push_back(p.entry.change);
    tell(p, p.entry.request.rcode);
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
