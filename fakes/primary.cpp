#include "fakes/primary.h"

#include <unistd.h>

#include <stdexcept>

#include "fakes/sockets.h"

namespace peargrade::fakes {
namespace {

dns_zone::RawRecord soaOf(const dns_zone::Zone& zone) {
  const dns_zone::Zone::Set* set = zone.find(zone.origin(), dns_zone::Type::SOA);
  return dns_zone::rawOf({zone.origin(), dns_zone::Type::SOA, set->ttl, *set->data.begin()});
}

std::string framed(const std::string& bytes) {
  return std::string{static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 255)} + bytes;
}

}  // namespace

Primary::Primary(event_base* base, const std::string& host) : base_(base), address_{host, 0} { open(); }

Primary::~Primary() { down(true); }

void Primary::open() {
  const std::uint16_t wanted = address_.port;
  for (int k = 0; k < 64 && udp_ < 0; ++k) {
    sockaddr_in at = address_.socket();
    at.sin_port = htons(wanted);
    const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
      auto* primary = static_cast<Primary*>(self);
      primary->peers_.emplace_back();
      const auto peer = std::prev(primary->peers_.end());
      peer->fd = fd;
      net::Stream::Handlers handlers;
      handlers.data = [primary, peer](evbuffer* input) { primary->onStream(peer, input); };
      handlers.end = [primary, peer](log::CloseReason, const std::string&) { primary->peers_.erase(peer); };
      peer->stream = std::make_unique<net::Stream>(primary->base_, fd, std::move(handlers));
    };
    listener_.reset(evconnlistener_new_bind(base_, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                            -1, reinterpret_cast<sockaddr*>(&at), sizeof at));
    if (!listener_) throw std::runtime_error("the primary cannot listen on " + address_.text());
    socklen_t size = sizeof at;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
    address_.port = ntohs(at.sin_port);
    udp_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    if (bind(udp_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) break;
    close(udp_);
    udp_ = -1;
  }
  if (udp_ < 0) throw std::runtime_error("the primary finds no port free for both transports");
  const auto ready = [](evutil_socket_t, short, void* self) { static_cast<Primary*>(self)->onDatagram(); };
  readable_.reset(event_new(base_, udp_, EV_READ | EV_PERSIST, ready, this));
  event_add(readable_.get(), nullptr);
}

void Primary::down(bool on) {
  if (!on && udp_ < 0) return open();
  if (!on || udp_ < 0) return;
  readable_.reset();
  listener_.reset();
  peers_.clear();
  close(udp_);
  udp_ = -1;
}

void Primary::publish(const dns_zone::Zone& zone) { versions_.push_back(zone); }

void Primary::notify(const net::Address& whom) {
  dns_zone::Message m;
  m.id = 4711;
  m.opcode = dns_zone::Opcode::Notify;
  m.authoritative = true;
  m.hasQuestion = true;
  m.name = zone().origin();
  m.type = static_cast<std::uint16_t>(dns_zone::Type::SOA);
  m.answer.push_back(soaOf(zone()));
  net::Datagram::Handlers handlers;
  handlers.data = [this](const std::string& bytes) {
    const auto answer = dns_zone::decodeMessage(bytes);
    notifyAnswers += answer && answer->response && answer->rcode == dns_zone::Rcode::NoError;
  };
  std::uint32_t port =
      static_cast<std::uint32_t>(notices_.size()) * 7919 + static_cast<std::uint32_t>(getpid());
  notices_.push_back(std::make_unique<net::Datagram>(
      base_, whom, [port]() mutable { return port += 13; }, std::move(handlers)));
  notices_.back()->send(dns_zone::encodeMessage(m));
}

std::vector<dns_zone::RawRecord> Primary::whole() const {
  std::vector<dns_zone::RawRecord> records;
  for (const dns_zone::Record& r : zone().all()) records.push_back(dns_zone::rawOf(r));
  records.push_back(soaOf(zone()));
  return records;
}

// From the version with that serial on, step by step; empty: it is not known.
std::vector<dns_zone::RawRecord> Primary::changes(std::uint32_t from) const {
  std::vector<dns_zone::RawRecord> records{soaOf(zone())};
  if (from == zone().serial()) return records;
  std::size_t at = 0;
  while (at < versions_.size() && versions_[at].serial() != from) ++at;
  if (at == versions_.size()) return {};
  for (; at + 1 < versions_.size(); ++at) {
    const dns_zone::Difference d = dns_zone::difference(versions_[at], versions_[at + 1]);
    records.push_back(soaOf(versions_[at]));
    for (const dns_zone::Record& r : d.removed) {
      if (r.type != dns_zone::Type::SOA) records.push_back(dns_zone::rawOf(r));
    }
    if (wrongChanges)
      records.push_back(
          dns_zone::rawOf({"nobody." + zone().origin(), dns_zone::Type::A, 1, std::string("\1\2\3\4", 4)}));
    records.push_back(soaOf(versions_[at + 1]));
    for (const dns_zone::Record& r : d.added) {
      if (r.type != dns_zone::Type::SOA) records.push_back(dns_zone::rawOf(r));
    }
  }
  records.push_back(soaOf(zone()));
  return records;
}

void Primary::onDatagram() {
  char bytes[4096];
  sockaddr_in from{};
  for (;;) {
    socklen_t size = sizeof from;
    const ssize_t got = recvfrom(udp_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    auto m = dns_zone::decodeMessage({bytes, static_cast<std::size_t>(got)});
    if (!m || silent) continue;
    ++soas;
    m->response = m->authoritative = true;
    if (refuse)
      m->rcode = dns_zone::Rcode::Refused;
    else
      m->answer = {soaOf(zone())};
    const std::string out = dns_zone::encodeMessage(*m);
    sendto(udp_, out.data(), out.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), size);
  }
}

void Primary::onStream(std::list<Peer>::iterator peer, evbuffer* input) {
  const std::size_t size = evbuffer_get_length(input), had = peer->input.size();
  peer->input.resize(had + size);
  evbuffer_remove(input, peer->input.data() + had, size);
  if (peer->input.size() < 2) return;
  const std::size_t due = static_cast<std::size_t>(static_cast<unsigned char>(peer->input[0])) << 8 |
                          static_cast<unsigned char>(peer->input[1]);
  if (peer->input.size() < 2 + due) return;
  auto m = dns_zone::decodeMessage(peer->input.substr(2, due));
  peer->input.erase(0, 2 + due);
  if (!m) return;
  const bool ixfr = m->type == dns_zone::kTypeIxfr;
  ++(ixfr ? ixfrs : axfrs);
  m->response = m->authoritative = true;
  std::uint32_t from = 0;
  if (ixfr && !m->authority.empty()) from = dns_zone::soaOf(m->authority[0].data)->serial;
  m->authority.clear();
  std::vector<dns_zone::RawRecord> records;
  if (refuse)
    m->rcode = dns_zone::Rcode::Refused;
  else if (ixfr && noChanges)
    m->rcode = dns_zone::Rcode::NotImp;
  else
    records = ixfr ? changes(from) : whole();
  if (ixfr && records.empty() && m->rcode == dns_zone::Rcode::NoError)
    records = whole();  // as RFC 1995 allows
  std::size_t at = 0;
  int sent = 0;
  do {
    m->answer.assign(records.begin() + static_cast<long>(at),
                     records.begin() + static_cast<long>(std::min(records.size(), at + perMessage)));
    at += m->answer.size();
    const std::string bytes = framed(dns_zone::encodeMessage(*m));
    if (dieAfter >= 0 && sent == dieAfter) {
      if (hang) return;
      peer->stream->send(bytes.substr(0, bytes.size() / 2));
      peer->stream->flush();
      resetOnClose(peer->fd);
      peers_.erase(peer);
      return;
    }
    // Straight to the socket: what has gone out before a break has gone out.
    const auto wrote = send(peer->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    static_cast<void>(wrote);
    ++sent;
    m->hasQuestion = false;
  } while (at < records.size());
}

}  // namespace peargrade::fakes
