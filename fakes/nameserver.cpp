#include "fakes/nameserver.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "fakes/sockets.h"

namespace peargrade::fakes {
namespace {

constexpr std::uint16_t kCname = 5, kSoa = 6, kNs = 2, kAaaa = 28, kSrv = 33, kOpt = 41;

std::string u16(unsigned value) { return {static_cast<char>(value >> 8), static_cast<char>(value & 255)}; }
std::string u32(std::uint32_t value) { return u16(value >> 16) + u16(value & 0xFFFF); }

std::string wireName(const std::string& name) {
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
  return wireName(owner) + u16(type) + u16(cls) + u32(ttl) + u16(static_cast<unsigned>(data.size())) + data;
}

std::string dataOf(const NameServer::Data& d) {
  char bytes[16];
  if (d.type == 1 && inet_pton(AF_INET, d.value.c_str(), bytes) == 1) return {bytes, 4};
  if (d.type == kAaaa && inet_pton(AF_INET6, d.value.c_str(), bytes) == 1) return {bytes, 16};
  if (d.type == kSrv) return u16(d.priority) + u16(d.weight) + u16(d.port) + wireName(d.value);
  return wireName(d.value);
}

std::string soa(const std::string& zone, std::uint32_t negativeTtl) {
  return record(zone, kSoa, 3600,
                wireName("ns." + zone) + wireName("hostmaster." + zone) + u32(1) + u32(3600) + u32(600) +
                    u32(86400) + u32(negativeTtl));
}

struct Asked {
  std::string name, question;
  std::uint16_t id = 0, type = 0;
  bool edns = false;
  unsigned payload = 512;
};

// False for what is no query.
bool readQuery(const std::string& bytes, Asked& asked) {
  const auto at = [&](std::size_t k) { return static_cast<unsigned char>(bytes[k]); };
  if (bytes.size() < 17) return false;
  asked.id = static_cast<std::uint16_t>(at(0) << 8 | at(1));
  std::size_t k = 12;
  while (k < bytes.size() && at(k) != 0) {
    if (at(k) > 63 || k + 1 + at(k) >= bytes.size()) return false;
    asked.name += (asked.name.empty() ? "" : ".") + bytes.substr(k + 1, at(k));
    k += 1 + at(k);
  }
  if (k + 5 > bytes.size()) return false;
  asked.type = static_cast<std::uint16_t>(at(k + 1) << 8 | at(k + 2));
  asked.question = bytes.substr(12, k + 5 - 12);
  const std::size_t opt = k + 5;
  if ((at(10) << 8 | at(11)) == 1 && opt + 11 <= bytes.size() && at(opt) == 0 &&
      (at(opt + 1) << 8 | at(opt + 2)) == kOpt) {
    asked.edns = true;
    asked.payload = static_cast<unsigned>(at(opt + 3) << 8 | at(opt + 4));
  }
  return true;
}

struct Reply {
  std::uint16_t id = 0;
  unsigned flags = 0x8400;  // QR, AA
  unsigned rcode = 0;
  std::string question;
  std::vector<std::string> answers, authority, additional;

  std::string bytes() const {
    std::string all = u16(id) + u16(flags | rcode) + u16(question.empty() ? 0 : 1) +
                      u16(static_cast<unsigned>(answers.size())) +
                      u16(static_cast<unsigned>(authority.size())) +
                      u16(static_cast<unsigned>(additional.size())) + question;
    for (const auto* section : {&answers, &authority, &additional}) {
      for (const std::string& r : *section) all += r;
    }
    return all;
  }
};

}  // namespace

NameServer::NameServer(event_base* base, const std::string& host, std::uint16_t port)
    : base_(base), address_{host, port} {
  open();
}

NameServer::~NameServer() { refuse(true); }

void NameServer::open() {
  // TCP first: the system gives a port, and UDP takes the same. Another program may hold that one for UDP.
  const std::uint16_t wanted = address_.port;
  for (int k = 0; k < 64; ++k) {
    sockaddr_in at = address_.socket();
    at.sin_port = htons(wanted);
    const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
      auto* server = static_cast<NameServer*>(self);
      server->peers_.emplace_back();
      const auto peer = std::prev(server->peers_.end());
      peer->fd = fd;
      const auto data = [server, peer](evbuffer* input) { server->onStream(peer, input); };
      const auto gone = [server, peer](log::CloseReason, const std::string&) { server->peers_.erase(peer); };
      peer->stream =
          std::make_unique<net::Stream>(server->base_, fd, net::Stream::Handlers{nullptr, data, gone});
    };
    listener_.reset(evconnlistener_new_bind(base_, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                            -1, reinterpret_cast<sockaddr*>(&at), sizeof at));
    if (!listener_) throw std::runtime_error("the name server cannot listen on " + address_.text());
    socklen_t size = sizeof at;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
    address_.port = ntohs(at.sin_port);
    udp_ = socket(AF_INET, SOCK_DGRAM, 0);
    evutil_make_socket_nonblocking(udp_);
    if (bind(udp_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) break;
    close(udp_);
    udp_ = -1;
  }
  if (udp_ < 0) throw std::runtime_error("the name server finds no port free for both transports");
  readable_.reset(event_new(
      base_, udp_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<NameServer*>(self)->onDatagram(); }, this));
  event_add(readable_.get(), nullptr);
}

void NameServer::refuse(bool on) {
  if (!on && udp_ < 0) return open();
  if (!on || udp_ < 0) return;
  readable_.reset();
  listener_.reset();
  peers_.clear();
  close(udp_);
  udp_ = -1;
}

void NameServer::srv(const std::string& name, const std::string& target, std::uint16_t port,
                     std::uint16_t priority, std::uint16_t weight, std::uint32_t ttl) {
  names[name].push_back({kSrv, target, priority, weight, port, ttl});
}
void NameServer::a(const std::string& name, const std::string& address, std::uint32_t ttl) {
  names[name].push_back({1, address, 0, 0, 0, ttl});
}
void NameServer::cname(const std::string& name, const std::string& target, std::uint32_t ttl) {
  names[name].push_back({kCname, target, 0, 0, 0, ttl});
}

void NameServer::fail(Fault fault, Over over, const std::string& name) {
  scripts_.push_back({fault, over, name});
}

const NameServer::Script* NameServer::scriptFor(const std::string& name, bool tcp) const {
  for (const Script& s : scripts_) {
    if ((s.name.empty() || s.name == name) && (s.over == Over::Both || (s.over == Over::Tcp) == tcp))
      return &s;
  }
  return nullptr;
}

std::size_t NameServer::asked(const std::string& name, std::uint16_t type) const {
  return static_cast<std::size_t>(std::count_if(
      seen.begin(), seen.end(), [&](const Seen& s) { return s.name == name && s.type == type; }));
}

std::string NameServer::answer(const std::string& query, bool tcp, std::uint16_t port,
                               const Script*& script) {
  Asked asked;
  if (!readQuery(query, asked)) return "";
  seen.push_back({asked.name, asked.type, asked.id, port, tcp, asked.edns});
  if (raw) return raw(query);
  script = scriptFor(asked.name, tcp);
  Reply reply;
  reply.id = asked.id;
  reply.question = asked.question;
  std::string at = asked.name;
  std::set<std::string> walked;
  while (walked.insert(at).second) {
    const auto found = names.find(at);
    if (found == names.end()) {
      reply.rcode = 3;
      break;
    }
    std::string alias;
    for (const Data& d : found->second) {
      if (d.type == asked.type || d.type == kCname)
        reply.answers.push_back(record(at, d.type, d.ttl, dataOf(d)));
      if (d.type == kCname) alias = d.value;
    }
    if (alias.empty()) break;
    at = alias;
    // What lies outside its zone it does not know.
    if (at.size() < zone.size() || at.compare(at.size() - zone.size(), zone.size(), zone) != 0) break;
  }
  if (reply.answers.empty()) reply.authority.push_back(soa(zone, negativeTtl));
  const auto refusal = [&](unsigned rcode) {
    reply.answers.clear();
    reply.authority.clear();
    reply.rcode = rcode;
  };
  if (script != nullptr) {
    switch (script->fault) {
      case Fault::Silent:
        return "";
      case Fault::Truncated:
        reply.flags |= 0x0200;
        reply.answers.resize(reply.answers.size() / 2);
        break;
      case Fault::TruncatedBare:
        reply.flags |= 0x0200;
        reply.answers.clear();
        break;
      case Fault::ServFail:
        refusal(2);
        break;
      case Fault::Refused:
        refusal(5);
        break;
      case Fault::FormErr:
        refusal(1);
        break;
      case Fault::OldServer:
        if (asked.edns) refusal(1);
        break;
      case Fault::LameReferral:
        refusal(0);
        reply.flags = 0x8000;
        reply.authority.push_back(record("org", kNs, 3600, wireName("ns.elsewhere.org")));
        break;
      case Fault::WrongId:
        reply.id = static_cast<std::uint16_t>(reply.id + 1);
        break;
      case Fault::WrongName:
        reply.question = wireName("other.example.org") + reply.question.substr(reply.question.size() - 4);
        break;
      case Fault::WrongType:
        reply.question = reply.question.substr(0, reply.question.size() - 4) + u16(16) + u16(1);
        break;
      case Fault::WrongClass:
        reply.question = reply.question.substr(0, reply.question.size() - 2) + u16(3);
        break;
      case Fault::NoResponseBit:
        reply.flags = 0;
        break;
      case Fault::Poison:
        for (auto* section : {&reply.answers, &reply.additional}) {
          for (const auto& [name, data] : names) {
            if (name != asked.name)
              section->push_back(record(name, 1, 86400, std::string("\x7F\x42\x42\x42", 4)));
          }
        }
        break;
      case Fault::Malformed: {
        const std::string bytes = reply.bytes();
        return bytes.substr(0, bytes.size() - 3);
      }
      case Fault::Loop:
        reply.answers = {std::string("\xC0", 1) + static_cast<char>(12 + reply.question.size()) +
                         u16(asked.type) + u16(1) + u32(60) + u16(0)};
        break;
      case Fault::Oversized:
        while (reply.bytes().size() <= asked.payload)
          reply.additional.push_back(record("filler.example.org", 16, 60, std::string(200, '\x07')));
        break;
      case Fault::Contradiction:
        reply.answers.push_back(record(asked.name, kCname, 60, wireName("x.example.org")));
        break;
      case Fault::AliasLoop:
        reply.rcode = 0;
        reply.answers = {record(asked.name, kCname, 60, wireName("x.example.org")),
                         record("x.example.org", kCname, 60, wireName(asked.name))};
        break;
      case Fault::NxWithData:
        reply.rcode = 3;
        break;
      case Fault::Reset:
      case Fault::HalfAnswer:
      case Fault::Pieces:
        break;
    }
  }
  std::string bytes = reply.bytes();
  const bool fits = tcp || bytes.size() <= (asked.edns ? asked.payload : 512);
  if (fits || (script != nullptr && script->fault == Fault::Oversized)) return bytes;
  reply.flags |= 0x0200;  // as a server does on its own: what fits, whole records
  while (!reply.answers.empty() && reply.bytes().size() > (asked.edns ? asked.payload : 512))
    reply.answers.pop_back();
  return reply.bytes();
}

void NameServer::onDatagram() {
  char bytes[4096];
  sockaddr_in from{};
  for (;;) {
    socklen_t size = sizeof from;
    const ssize_t got =
        recvfrom(udp_, bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    const Script* script = nullptr;
    const std::string out =
        answer({bytes, static_cast<std::size_t>(got)}, false, ntohs(from.sin_port), script);
    if (!out.empty())
      sendto(udp_, out.data(), out.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), size);
  }
}

void NameServer::onStream(std::list<Peer>::iterator peer, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input);
  std::string bytes(size, '\0');
  evbuffer_remove(input, bytes.data(), size);
  peer->input += bytes;
  while (peer->input.size() >= 2) {
    const std::size_t due = static_cast<std::size_t>(static_cast<unsigned char>(peer->input[0])) << 8 |
                            static_cast<unsigned char>(peer->input[1]);
    if (peer->input.size() < 2 + due) return;
    const std::string query = peer->input.substr(2, due);
    peer->input.erase(0, 2 + due);
    const Script* script = nullptr;
    const std::string out = answer(query, true, 0, script);
    if (script != nullptr && script->fault == Fault::Reset) {
      resetOnClose(peer->fd);
      peers_.erase(peer);
      return;
    }
    if (out.empty()) continue;
    const std::string framed = u16(static_cast<unsigned>(out.size())) + out;
    if (script != nullptr && script->fault == Fault::HalfAnswer) {
      peer->stream->send(framed.substr(0, framed.size() / 2));
      peer->stream->flush();
      peers_.erase(peer);
      return;
    }
    if (script != nullptr && script->fault == Fault::Pieces) {
      for (const char c : framed) send(peer->fd, &c, 1, MSG_NOSIGNAL);
    } else {
      peer->stream->send(framed);
    }
  }
}

}  // namespace peargrade::fakes
