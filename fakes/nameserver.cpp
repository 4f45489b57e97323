#include "fakes/nameserver.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <set>

namespace peargrade::fakes {
namespace {

// Record types and classes: RFC 1035, section 3.2, RFC 2782, 3596 and 6891.
constexpr std::uint16_t kA = 1;
constexpr std::uint16_t kNs = 2;
constexpr std::uint16_t kCname = 5;
constexpr std::uint16_t kSoa = 6;
constexpr std::uint16_t kTxt = 16;
constexpr std::uint16_t kAaaa = 28;
constexpr std::uint16_t kSrv = 33;
constexpr std::uint16_t kOpt = 41;
constexpr std::uint16_t kClassIn = 1;
constexpr std::uint16_t kClassChaos = 3;

// Header flags and response codes: RFC 1035, section 4.1.1.
constexpr unsigned kResponse = 0x8000;
constexpr unsigned kAuthoritative = 0x0400;
constexpr unsigned kTruncated = 0x0200;
constexpr unsigned kFormErr = 1;
constexpr unsigned kServFail = 2;
constexpr unsigned kNxDomain = 3;
constexpr unsigned kRefused = 5;

constexpr unsigned kPlainPayload = 512;  // bytes of a UDP answer without EDNS(0)
constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kTypeAndClassBytes = 4;  // at the end of a question

std::string u16(unsigned value) { return bigEndian16(value); }
std::string u32(std::uint32_t value) { return u16(value >> 16) + u16(value & 0xFFFF); }

std::string encodeName(const std::string& name) {
  std::string wire;
  for (std::size_t at = 0; at < name.size();) {
    const std::size_t dot = std::min(name.find('.', at), name.size());
    wire += static_cast<char>(dot - at) + name.substr(at, dot - at);
    at = dot + 1;
  }
  return wire + '\0';
}

std::string record(const std::string& owner, std::uint16_t type, std::uint32_t ttl, const std::string& data,
                   std::uint16_t cls = 1) {
  return encodeName(owner) + u16(type) + u16(cls) + u32(ttl) + u16(static_cast<unsigned>(data.size())) + data;
}

std::string encodeData(const NameServer::Data& data) {
  char bytes[16];
  if (data.type == 1 && inet_pton(AF_INET, data.value.c_str(), bytes) == 1) return {bytes, 4};
  if (data.type == kAaaa && inet_pton(AF_INET6, data.value.c_str(), bytes) == 1) return {bytes, 16};
  if (data.type == kSrv)
    return u16(data.priority) + u16(data.weight) + u16(data.port) + encodeName(data.value);
  return encodeName(data.value);
}

std::string soa(const std::string& zone, std::uint32_t negativeTtl) {
  return record(zone, kSoa, 3600,
                encodeName("ns." + zone) + encodeName("hostmaster." + zone) + u32(1) + u32(3600) + u32(600) +
                    u32(86400) + u32(negativeTtl));
}

}  // namespace

struct NameServer::Query {
  std::string name;
  std::string question;
  std::uint16_t id = 0;
  std::uint16_t type = 0;
  bool edns = false;
  unsigned payload = kPlainPayload;

  // Returns false if the bytes are not a query.
  bool read(const std::string& bytes);
  unsigned udpPayload() const { return edns ? payload : kPlainPayload; }
};

bool NameServer::Query::read(const std::string& bytes) {
  const auto at = [&](std::size_t k) { return static_cast<unsigned char>(bytes[k]); };
  if (bytes.size() < kHeaderBytes + 1 + kTypeAndClassBytes) return false;
  id = static_cast<std::uint16_t>(at(0) << 8 | at(1));
  std::size_t k = kHeaderBytes;
  while (k < bytes.size() && at(k) != 0) {
    if (at(k) > 63 || k + 1 + at(k) >= bytes.size()) return false;
    name += (name.empty() ? "" : ".") + bytes.substr(k + 1, at(k));
    k += 1 + at(k);
  }
  const std::size_t end = k + 1 + kTypeAndClassBytes;
  if (end > bytes.size()) return false;
  type = static_cast<std::uint16_t>(at(k + 1) << 8 | at(k + 2));
  question = bytes.substr(kHeaderBytes, end - kHeaderBytes);
  const bool oneAdditional = (at(10) << 8 | at(11)) == 1;
  if (oneAdditional && end + 11 <= bytes.size() && at(end) == 0 && (at(end + 1) << 8 | at(end + 2)) == kOpt) {
    edns = true;
    payload = static_cast<unsigned>(at(end + 3) << 8 | at(end + 4));
  }
  return true;
}

struct NameServer::Reply {
  std::uint16_t id = 0;
  unsigned flags = kResponse | kAuthoritative;
  unsigned rcode = 0;
  std::string question;
  std::vector<std::string> answers;
  std::vector<std::string> authority;
  std::vector<std::string> additional;

  void refuse(unsigned code) {
    answers.clear();
    authority.clear();
    rcode = code;
  }
  std::string bytes() const {
    const auto count = [](const std::vector<std::string>& section) {
      return u16(static_cast<unsigned>(section.size()));
    };
    std::string all = u16(id) + u16(flags | rcode) + u16(question.empty() ? 0 : 1) + count(answers) +
                      count(authority) + count(additional) + question;
    for (const auto* section : {&answers, &authority, &additional}) {
      for (const std::string& record : *section) all += record;
    }
    return all;
  }
};

NameServer::NameServer(event_base* base, const std::string& host, std::uint16_t port)
    : endpoint_(
          base, {host, port},
          {[this](const std::string& query, std::uint16_t from) { return answerDatagram(query, from); },
           [this](DnsEndpoint::Peer peer, const std::string& query) { return answerStream(peer, query); }}) {}

void NameServer::refuse(bool on) {
  if (on)
    endpoint_.close();
  else
    endpoint_.open();
}

void NameServer::srv(const std::string& name, const std::string& target, std::uint16_t port,
                     std::uint16_t priority, std::uint16_t weight, std::uint32_t ttl) {
  names[name].push_back({kSrv, target, priority, weight, port, ttl});
}
void NameServer::a(const std::string& name, const std::string& address, std::uint32_t ttl) {
  names[name].push_back({kA, address, 0, 0, 0, ttl});
}
void NameServer::cname(const std::string& name, const std::string& target, std::uint32_t ttl) {
  names[name].push_back({kCname, target, 0, 0, 0, ttl});
}

void NameServer::fail(Fault fault, Over over, const std::string& name) {
  injectedFaults_.push_back({fault, over, name});
}

const NameServer::InjectedFault* NameServer::findFault(const std::string& name, bool tcp) const {
  for (const InjectedFault& fault : injectedFaults_) {
    if ((fault.name.empty() || fault.name == name) &&
        (fault.over == Over::Both || (fault.over == Over::Tcp) == tcp))
      return &fault;
  }
  return nullptr;
}

std::size_t NameServer::asked(const std::string& name, std::uint16_t type) const {
  return static_cast<std::size_t>(std::count_if(
      seen.begin(), seen.end(), [&](const Seen& s) { return s.name == name && s.type == type; }));
}

std::string NameServer::answer(const std::string& bytes, bool tcp, std::uint16_t port,
                               const InjectedFault*& injected) {
  Query query;
  if (!query.read(bytes)) return "";
  seen.push_back({query.name, query.type, query.id, port, tcp, query.edns});
  if (raw) return raw(bytes);
  injected = findFault(query.name, tcp);
  Reply reply = makeReply(query);
  if (injected != nullptr && !applyFault(reply, query, injected->fault)) return "";
  if (injected != nullptr && injected->fault == Fault::Malformed) {
    const std::string complete = reply.bytes();
    return complete.substr(0, complete.size() - 3);
  }
  const bool oversized = injected != nullptr && injected->fault == Fault::Oversized;
  if (tcp || oversized || reply.bytes().size() <= query.udpPayload()) return reply.bytes();
  // Regular truncation: the complete records that fit into the payload.
  reply.flags |= kTruncated;
  while (!reply.answers.empty() && reply.bytes().size() > query.udpPayload()) reply.answers.pop_back();
  return reply.bytes();
}

NameServer::Reply NameServer::makeReply(const Query& query) const {
  Reply reply;
  reply.id = query.id;
  reply.question = query.question;
  std::string at = query.name;
  std::set<std::string> visited;
  while (visited.insert(at).second) {
    const auto found = names.find(at);
    if (found == names.end()) {
      reply.rcode = kNxDomain;
      break;
    }
    std::string alias;
    for (const Data& data : found->second) {
      if (data.type == query.type || data.type == kCname)
        reply.answers.push_back(record(at, data.type, data.ttl, encodeData(data)));
      if (data.type == kCname) alias = data.value;
    }
    if (alias.empty()) break;
    at = alias;
    // The server has no records outside its zone.
    if (at.size() < zone.size() || at.compare(at.size() - zone.size(), zone.size(), zone) != 0) break;
  }
  if (reply.answers.empty()) reply.authority.push_back(soa(zone, negativeTtl));
  return reply;
}

bool NameServer::applyFault(Reply& reply, const Query& query, Fault fault) const {
  const std::string& question = reply.question;
  const std::size_t nameEnd = question.size() - kTypeAndClassBytes;
  switch (fault) {
    case Fault::Silent:
      return false;
    case Fault::ServFail:
      reply.refuse(kServFail);
      break;
    case Fault::Refused:
      reply.refuse(kRefused);
      break;
    case Fault::FormErr:
      reply.refuse(kFormErr);
      break;
    case Fault::OldServer:
      if (query.edns) reply.refuse(kFormErr);
      break;
    case Fault::LameReferral:
      reply.refuse(0);
      reply.flags = kResponse;
      reply.authority.push_back(record("org", kNs, 3600, encodeName("ns.elsewhere.org")));
      break;
    case Fault::WrongId:
      reply.id = static_cast<std::uint16_t>(reply.id + 1);
      break;
    case Fault::WrongName:
      reply.question = encodeName("other.example.org") + question.substr(nameEnd);
      break;
    case Fault::WrongType:
      reply.question = question.substr(0, nameEnd) + u16(kTxt) + u16(kClassIn);
      break;
    case Fault::WrongClass:
      reply.question = question.substr(0, question.size() - 2) + u16(kClassChaos);
      break;
    case Fault::NoResponseBit:
      reply.flags = 0;
      break;
    default:
      applyRecordFault(reply, query, fault);
  }
  return true;
}

void NameServer::applyRecordFault(Reply& reply, const Query& query, Fault fault) const {
  switch (fault) {
    case Fault::Truncated:
      reply.flags |= kTruncated;
      reply.answers.resize(reply.answers.size() / 2);
      break;
    case Fault::TruncatedBare:
      reply.flags |= kTruncated;
      reply.answers.clear();
      break;
    case Fault::Poison:
      for (auto* section : {&reply.answers, &reply.additional}) {
        for (const auto& [name, data] : names) {
          if (name != query.name)
            section->push_back(record(name, kA, 86400, std::string("\x7F\x42\x42\x42", 4)));
        }
      }
      break;
    case Fault::Loop:
      reply.answers = {std::string("\xC0", 1) + static_cast<char>(kHeaderBytes + reply.question.size()) +
                       u16(query.type) + u16(kClassIn) + u32(60) + u16(0)};
      break;
    case Fault::Oversized:
      while (reply.bytes().size() <= query.payload)
        reply.additional.push_back(record("filler.example.org", kTxt, 60, std::string(200, '\x07')));
      break;
    case Fault::Contradiction:
      reply.answers.push_back(record(query.name, kCname, 60, encodeName("x.example.org")));
      break;
    case Fault::AliasLoop:
      reply.rcode = 0;
      reply.answers = {record(query.name, kCname, 60, encodeName("x.example.org")),
                       record("x.example.org", kCname, 60, encodeName(query.name))};
      break;
    case Fault::NxWithData:
      reply.rcode = kNxDomain;
      break;
    default:
      break;  // The other faults apply to the encoded message or to the connection.
  }
}

std::string NameServer::answerDatagram(const std::string& query, std::uint16_t port) {
  const InjectedFault* injected = nullptr;
  return answer(query, false, port, injected);
}

bool NameServer::answerStream(DnsEndpoint::Peer peer, const std::string& query) {
  const InjectedFault* injected = nullptr;
  const std::string out = answer(query, true, 0, injected);
  if (injected != nullptr && injected->fault == Fault::Reset) {
    endpoint_.reset(peer);
    return false;
  }
  if (out.empty()) return true;
  const std::string bytes = framedForTcp(out);
  if (injected != nullptr && injected->fault == Fault::HalfAnswer) {
    peer->stream->send(bytes.substr(0, bytes.size() / 2));
    peer->stream->flush();
    endpoint_.end(peer);
    return false;
  }
  if (injected != nullptr && injected->fault == Fault::Pieces) {
    for (const char byte : bytes) send(peer->fd, &byte, 1, MSG_NOSIGNAL);
  } else {
    peer->stream->send(bytes);
  }
  return true;
}

}  // namespace peargrade::fakes
