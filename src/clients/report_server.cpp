#include "clients/report_server.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace peargrade::clients {
namespace {

const std::string kHeartbeatAnswer = Framing::frame(R"({"type":"hb_ok"})");
const std::string kReject = Framing::frame(R"({"type":"reject"})");
constexpr int kPassedOver = 32;         // asked for bytes that wait, each by a call of the system
constexpr int kHeartbeatsMost = 64;     // waiting on one connection until the supervisor can act
constexpr Micros kStandstill = 500000;  // a sweep so late: this process itself stood still
constexpr Micros kSayEvery = 1000000;   // one line for all messages skipped meanwhile
const char* const kRoles[] = {"stranger", "prober", "collector"};

std::string nameOf(const sockaddr* from) {
  if (from == nullptr || from->sa_family != AF_INET) return "?";
  const auto* in = reinterpret_cast<const sockaddr_in*>(from);
  char host[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &in->sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(in->sin_port));
}

}  // namespace

ReportServer::ReportServer(event_base* base, const net::Address& address, const discovery::Names& names,
                           int slices, dispatch::Dispatcher& exchange, log::Log& log, Limits limits,
                           std::function<Micros()> clock)
    : base_(base),
      address_(address),
      names_(names),
      slices_(slices),
      dispatcher_(exchange),
      log_(log),
      limits_(limits),
      clock_(std::move(clock)),
      sweeper_(base, [this] { sweep(); }),
      resume_(base, [this] { evconnlistener_enable(listener_.get()); }),
      nextTurn_(base, [this] {
        accepted_ = 0;
        if (!resume_.set()) evconnlistener_enable(listener_.get());
      }) {
  sockaddr_in at = address.socket();
  listener_.reset(evconnlistener_new_bind(base, onAccept, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                          512, reinterpret_cast<sockaddr*>(&at), sizeof at));
  if (!listener_)
    throw std::runtime_error("cannot listen on " + address.text() + ": " + std::strerror(errno));
  evconnlistener_set_error_cb(listener_.get(), onAcceptError);
  socklen_t size = sizeof at;
  if (getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size) == 0)
    address_.port = ntohs(at.sin_port);
  dispatcher_.onReady([this] {
    for (auto peer = peers_.begin(); peer != peers_.end();) answer(peer++);
  });
  sweptAt_ = clock_();
  sweeper_.in(limits_.sweep);
}

ReportServer::~ReportServer() {
  while (!peers_.empty()) end(peers_.begin(), log::Reason::Stopping, "");
}

// Guards against a flood that takes the loop for itself: libevent takes in whoever waits.
void ReportServer::onAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* from, int, void* self) {
  auto* clients = static_cast<ReportServer*>(self);
  if (clients->accepted_++ == 0) clients->nextTurn_.in(0);
  if (clients->accepted_ >= clients->limits_.acceptsATurn) evconnlistener_disable(listener);
  clients->accept(fd, nameOf(from));
}

// Guards against a spin when no descriptor is left: the queue of the socket keeps who comes meanwhile.
void ReportServer::onAcceptError(evconnlistener* listener, void* self) {
  auto* clients = static_cast<ReportServer*>(self);
  clients->log_.error("clients") << "cannot accept: " << std::strerror(EVUTIL_SOCKET_ERROR());
  evconnlistener_disable(listener);
  clients->resume_.in(100000);
}

void ReportServer::accept(evutil_socket_t fd, const std::string& name) {
  while (peers_.size() + leaving_.size() >= limits_.connections && !leaving_.empty()) leaving_.pop_front();
  if (peers_.size() >= limits_.connections) makeRoom();
  peers_.emplace_back();
  const At peer = std::prev(peers_.end());
  peer->name = name;
  peer->acceptedAt = peer->heardAt = clock_();
  peer->stream = std::make_unique<net::Stream>(
      base_, fd,
      net::Stream::Handlers{
          nullptr, [this, peer](evbuffer* input) { onData(peer, input); },
          [this, peer](log::Reason reason, const std::string& detail) { end(peer, reason, detail); }});
}

// The first to come of those in a role. A stranger whose bytes wait to be read may be a collector about to
// join: it is passed over while others have said nothing.
ReportServer::At ReportServer::oldest(Role role) {
  At found = peers_.end();
  int passedOver = 0;
  for (At peer = peers_.begin(); peer != peers_.end() && passedOver < kPassedOver; ++peer) {
    if (peer->role != role || peer->stream == nullptr) continue;
    if (found == peers_.end()) found = peer;
    if (role != Role::Stranger || peer->stream->waiting() != net::Stream::Waiting::Bytes) return peer;
    ++passedOver;
  }
  return found;
}

// Guards against strangers that take every descriptor: those who have not joined give way first, then those
// with heartbeats only; of collectors the one that has been silent longest.
void ReportServer::makeRoom() {
  At way = oldest(Role::Stranger);
  if (way == peers_.end()) way = oldest(Role::Prober);
  if (way == peers_.end())
    way = std::min_element(peers_.begin(), peers_.end(),
                           [](const Peer& a, const Peer& b) { return a.heardAt < b.heardAt; });
  if (way->role == Role::Stranger)
    turnAway(way, log::Reason::ConnectionLimit, "too many connections");
  else
    end(way, log::Reason::ConnectionLimit, "too many connections");
}

void ReportServer::onData(At peer, evbuffer* input) {
  char piece[16384];
  std::string frame;
  while (evbuffer_get_length(input) > 0) {
    const int size = evbuffer_remove(input, piece, sizeof piece);
    if (size <= 0) break;
    peer->framing.add(piece, static_cast<std::size_t>(size));
    Framing::Next next;
    while ((next = peer->framing.next(frame)) == Framing::Next::Frame) {
      peer->begunAt = 0;
      if (!onFrame(peer, frame)) return;
    }
    peer->framing.compact();
    count(peer);
    const std::size_t length = peer->framing.length();
    if (next == Framing::Next::TooLong) {
      turnAway(peer, log::Reason::BadLength, "a message of " + std::to_string(length) + " bytes");
      return;
    }
    // Guards against many peers that each begin a long message: joinings and heartbeats are short.
    if (peer->role != Role::Collector && length > limits_.first) {
      turnAway(peer, log::Reason::BadLength, std::to_string(length) + " bytes before joining");
      return;
    }
    if (!peer->framing.partial())
      peer->begunAt = 0;
    else if (peer->begunAt == 0)
      peer->begunAt = clock_();
  }
  // The same once they have joined: the one that holds most gives way.
  while (held_ > limits_.held) {
    const auto most = std::max_element(peers_.begin(), peers_.end(),
                                       [](const Peer& a, const Peer& b) { return a.counted < b.counted; });
    const bool self = most == peer;
    end(most, log::Reason::ConnectionLimit, "unfinished messages fill the memory");
    if (self) return;
  }
}

// A collector's message that cannot be used costs that message alone; where several in a row are no JSON at
// all, the bytes are no frames any more. Who has not joined is owed an answer at once.
bool ReportServer::onFrame(At peer, const std::string& frame) {
  if (log_.shows(log::Level::Debug)) log_.debug("clients") << frame;
  try {
    const Message message = parseMessage(frame, names_, slices_);
    peer->unreadable = 0;
    return onMessage(peer, message);
  } catch (const ParseError& e) {
    const bool notJson = e.code() == ParseErrorCode::InvalidJson;
    peer->unreadable = notJson ? peer->unreadable + 1 : 0;
    if (peer->role != Role::Collector || peer->unreadable >= limits_.unreadable)
      return turnAway(peer, log::Reason::BadMessage, e.what());
    skip(peer, e.what());
  }
  return true;
}

bool ReportServer::onMessage(At peer, const Message& message) {
  peer->heardAt = clock_();
  if (std::holds_alternative<Heartbeat>(message)) {
    if (peer->role == Role::Stranger) {
      peer->role = Role::Prober;
      // Guards against peers that keep their connection for good after a heartbeat.
      const auto probers =
          std::count_if(peers_.begin(), peers_.end(), [](const Peer& p) { return p.role == Role::Prober; });
      if (static_cast<std::size_t>(probers) > std::max<std::size_t>(1, limits_.connections / 4)) {
        const At first = oldest(Role::Prober);
        const bool self = first == peer;
        end(first, log::Reason::ConnectionLimit, "too many that only send heartbeats");
        if (self) return false;
      }
    }
    peer->heartbeats = std::min(peer->heartbeats + 1, kHeartbeatsMost);
    return answer(peer);
  }
  if (std::holds_alternative<Telemetry>(message)) {
    peer->role = Role::Collector;
    return true;
  }
  if (peer->role != Role::Collector) return turnAway(peer, log::Reason::NotJoined, "a report before joining");
  if (const auto* report = std::get_if<ServerLoadReport>(&message)) dispatcher_.post(*report);
  if (const auto* demand = std::get_if<SliceLoadReport>(&message)) dispatcher_.post(*demand);
  return true;
}

void ReportServer::skip(At peer, const std::string& what) {
  ++skipped_;
  ++unsaid_;
  const Micros now = clock_();
  if (saidAt_ != 0 && now - saidAt_ < kSayEvery) return;
  saidAt_ = now;
  log_.warn("clients") << unsaid_ << " messages left out; the last, from " << peer->name << ": "
                       << what.substr(0, 200);
  unsaid_ = 0;
}

bool ReportServer::turnAway(At peer, log::Reason reason, const std::string& detail) {
  std::unique_ptr<net::Stream> stream;
  if (peer->role != Role::Collector) {  // nothing is ever written to a collector
    peer->stream->send(kReject);
    if (peer->stream->halfClose() && reason != log::Reason::ConnectionLimit) stream = std::move(peer->stream);
  }
  end(peer, reason, detail.substr(0, 200));
  if (stream) linger(std::move(stream));
  return false;
}

// Guards against a close with bytes unread or still to come: it would be a reset, which may take with it what
// the peer was told.
void ReportServer::linger(std::unique_ptr<net::Stream> stream) {
  leaving_.push_back({std::move(stream), clock_(), limits_.lingerBytes});
  const auto at = std::prev(leaving_.end());
  at->stream->setHandlers({nullptr,
                           [this, at](evbuffer* input) {
                             const std::size_t size = evbuffer_get_length(input);
                             evbuffer_drain(input, size);
                             at->left -= std::min(at->left, size);
                             if (at->left == 0) leaving_.erase(at);
                           },
                           [this, at](log::Reason, const std::string&) { leaving_.erase(at); }});
}

// Heartbeats are answered once the supervisor can act.
bool ReportServer::answer(At peer) {
  if (!dispatcher_.ready()) return true;
  for (; peer->heartbeats > 0; --peer->heartbeats) peer->stream->send(kHeartbeatAnswer);
  if (peer->stream->unsent() <= limits_.unsent) return true;
  end(peer, log::Reason::SlowReader, "does not read its answers");
  return false;
}

void ReportServer::count(At peer) {
  held_ += peer->framing.held() - peer->counted;
  peer->counted = peer->framing.held();
}

void ReportServer::end(At peer, log::Reason reason, const std::string& detail) {
  held_ -= peer->counted;
  log_.ended("clients", peer->name + " " + kRoles[static_cast<int>(peer->role)], reason, detail);
  peers_.erase(peer);
}

void ReportServer::sweep() {
  const Micros now = clock_();
  sweeper_.in(limits_.sweep);
  // Guards against taking its own pause for the peers': what came meanwhile is read first.
  const bool late = now - std::exchange(sweptAt_, now) > limits_.sweep + kStandstill;
  while (!leaving_.empty() && now - leaving_.front().since > limits_.linger) leaving_.pop_front();
  for (auto peer = peers_.begin(); peer != peers_.end() && !late;) {
    const At at = peer++;
    const Micros age = now - at->acceptedAt;
    if (at->role == Role::Stranger && age > limits_.join)
      turnAway(at, at->begunAt > 0 ? log::Reason::IncompleteMessage : log::Reason::Unidentified, "");
    else if (at->role == Role::Prober && age > limits_.prober)
      end(at, log::Reason::HeartbeatsOnly, "");
    else if (at->begunAt > 0 && now - at->begunAt > limits_.message)
      turnAway(at, log::Reason::IncompleteMessage, "a message that does not end");
    else if (at->role == Role::Collector && now - at->heardAt > limits_.silence)
      end(at, log::Reason::Silent, "");
  }
}

}  // namespace peargrade::clients
