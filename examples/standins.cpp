#include "standins.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace peargrade::standins {
namespace {

// The next close of this socket is a reset.
void resetOnClose(evutil_socket_t fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

std::vector<std::string> split(const std::string& text, char at) {
  std::vector<std::string> words;
  std::istringstream in(text);
  for (std::string word; std::getline(in, word, at);) words.push_back(word);
  return words;
}

std::string number(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

}  // namespace

// ---- Relay ----

Relay::Relay(event_base* base, const std::string& host, std::uint16_t port)
    : base_(base), address_{host, port}, life_(base, [this] {
        if (lifeSigns) life();
        life_.in(1000000);
      }) {
  listen();
  life_.in(1000000);
}

void Relay::listen() {
  sockaddr_in at = address_.socket();
  const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<Relay*>(self)->accept(fd);
  };
  listener_.reset(evconnlistener_new_bind(base_, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                          -1, reinterpret_cast<sockaddr*>(&at), sizeof at));
  if (!listener_) throw std::runtime_error("the relay cannot listen on " + address_.text());
  socklen_t size = sizeof at;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
  address_.port = ntohs(at.sin_port);
}

void Relay::refuse(bool on) {
  if (on)
    listener_.reset();
  else if (!listener_)
    listen();
}

void Relay::accept(evutil_socket_t fd) {
  ++dials;
  peers_.emplace_back();
  const At peer = std::prev(peers_.end());
  fds_[peer] = fd;
  const auto gone = [this, peer](log::Reason, const std::string&) {
    fds_.erase(peer);
    peers_.erase(peer);
  };
  const auto data = [this, peer](evbuffer* input) {
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    peer->lines.add(bytes.data(), bytes.size());
    bool ended = false;
    for (std::string line; !ended && peer->lines.next(line);) onLine(peer, line, ended);
  };
  peer->stream = std::make_unique<net::Stream>(base_, fd, net::Stream::Handlers{nullptr, data, gone});
}

void Relay::onLine(At peer, const std::string& line, bool& gone) {
  if (line == "WATCH") {
    ++watches;
    peer->watching = true;
    if (!muteNews) peer->stream->send("OK\r\n" + standing());
    return;
  }
  if (line.compare(0, 6, "APPLY ") != 0) return peer->stream->send("ERR invalid\r\n");
  const std::string sent = line.substr(6);
  calls.push_back(sent);
  Fault fault = Fault::None;
  if (!faults.empty()) {
    fault = faults.front();
    faults.pop_front();
  }
  const auto reset = [&] {
    resetOnClose(fds_[peer]);
    fds_.erase(peer);
    peers_.erase(peer);
    gone = true;
  };
  switch (fault) {
    case Fault::None:
      return peer->stream->send("OK " + std::to_string(carryOut(sent)) + "\r\n");
    case Fault::BreakBefore:
      return reset();
    case Fault::BreakAfter:
      carryOut(sent);
      return reset();
    case Fault::Silent:
      return;
    case Fault::Garbage:
      carryOut(sent);
      return peer->stream->send("\x01\x02 what\r\n");
    case Fault::Throttled:
      return peer->stream->send("ERR throttled\r\n");
    case Fault::Invalid:
      return peer->stream->send("ERR invalid\r\n");
  }
}

std::size_t Relay::carryOut(const std::string& sent) {
  std::size_t count = 0;
  for (const std::string& order : split(sent, ';')) {
    if (!carryOutOne(order)) break;
    ++count;
    orders.push_back(order);
    if (onOrder) onOrder(order);
  }
  return count;
}

bool Relay::carryOutOne(const std::string& order) {
  const std::vector<std::string> w = split(order, ',');
  if (w[0] == "put" && w.size() == 4) {
    if (!servers.empty() && servers.count(w[2]) == 0) return false;
    const auto it = slices.find(std::atoi(w[1].c_str()));
    if (it == slices.end()) return true;  // not held: counted, changes nothing
    if (std::atof(w[3].c_str()) > 0)
      it->second[w[2]] = w[3];
    else
      it->second.erase(w[2]);
    return true;
  }
  if (w[0] == "wipe" && w.size() == 2) {
    const auto it = slices.find(std::atoi(w[1].c_str()));
    if (it != slices.end()) it->second.clear();
    return true;
  }
  if (w[0] == "eject" || w[0] == "uneject")
    return w.size() == 2 && (servers.empty() || servers.count(w[1]) > 0);
  return (w[0] == "gate" && w.size() == 5) || (w[0] == "fence" && w.size() == 3);
}

std::string Relay::standing() const {
  std::string text;
  for (const auto& [id, p] : proxies) {
    text += "* attach " + std::to_string(id) + " " + p.az + " " + number(p.share) +
            (p.standing ? " 1\r\n" : " 0\r\n");
  }
  for (const auto& [slice, lines] : slices) {
    text += "* owner " + std::to_string(slice) + " 1\r\n";
    for (const auto& [host, weight] : lines)
      text += "* entry " + std::to_string(slice) + " " + host + " " + weight + "\r\n";
  }
  return text;
}

void Relay::raw(const std::string& bytes) {
  if (muteNews) return;
  for (Peer& peer : peers_) {
    if (peer.watching) peer.stream->send(bytes);
  }
}

void Relay::attach(int proxy, const Proxy& how) {
  proxies[proxy] = how;
  raw("* attach " + std::to_string(proxy) + " " + how.az + " " + number(how.share) +
      (how.standing ? " 1" : " 0") + "\r\n");
}

void Relay::detach(int proxy) {
  proxies.erase(proxy);
  raw("* detach " + std::to_string(proxy) + "\r\n");
}

void Relay::give(int slice, const std::map<std::string, std::string>& lines) {
  slices[slice] = lines;
  std::string text = "* owner " + std::to_string(slice) + " 1\r\n";
  for (const auto& [host, weight] : lines)
    text += "* entry " + std::to_string(slice) + " " + host + " " + weight + "\r\n";
  raw(text);
}

void Relay::take(int slice) {
  slices.erase(slice);
  raw("* owner " + std::to_string(slice) + " 0\r\n");
}

void Relay::done(int proxy, int mark, double lagMs) {
  raw("* done " + std::to_string(proxy) + " " + std::to_string(mark) + " " + number(lagMs) + "\r\n");
}

void Relay::breakNews() {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const At at = peer++;
    if (!at->watching) continue;
    resetOnClose(fds_[at]);
    fds_.erase(at);
    peers_.erase(at);
  }
}

void Relay::closeCalls() {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const At at = peer++;
    if (at->watching) continue;
    fds_.erase(at);
    peers_.erase(at);
  }
}

// ---- Discovery ----

Discovery::Discovery(event_base* base, const std::string& host, std::uint16_t port)
    : address_{host, port}, http_(evhttp_new(base)), empty_(base, [this] {
        if (emptyLines) raw("\n");
        empty_.in(2000000);
      }) {
  evhttp_set_gencb(http_.get(), onRequest, this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http_.get(), host.c_str(), port);
  if (socket == nullptr) throw std::runtime_error("discovery cannot listen on " + address_.text());
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&at), &size);
  address_.port = ntohs(at.sin_port);
  empty_.in(2000000);
}

void Discovery::set(const std::string& uid, const std::string& az, const std::string& state,
                    std::int64_t bootMs) {
  ++rev;
  std::ostringstream json;
  json << R"({"uid":")" << uid << R"(","endpoint":"10.1.0.1:3000","az":")" << az
       << R"(","model":"m1","pod_group":0,"state":")" << state << R"(","capacity_hint":1.0,"boot_ms":)"
       << bootMs << "}";
  entries_[uid] = {rev, json.str(), state == "DELETED"};
  raw(list(rev - 1) + "\n");
}

std::string Discovery::list(std::int64_t since) const {
  std::string text;
  for (const auto& [uid, entry] : entries_) {
    if (entry.rev <= since || (since == 0 && entry.gone)) continue;
    text += (text.empty() ? "" : ",") + entry.json;
  }
  return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (since == 0 ? "true" : "false") +
         R"(,"targets":[)" + text + "]}";
}

void Discovery::onRequest(evhttp_request* request, void* self) {
  auto* d = static_cast<Discovery*>(self);
  d->requests.emplace_back(evhttp_request_get_uri(request));
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (d->mute) {
    d->muted_[connection] = request;
    return evhttp_connection_set_closecb(connection, onClose, d);
  }
  if (!d->statuses.empty()) {
    const int status = d->statuses.front();
    d->statuses.pop_front();
    return evhttp_send_reply(request, status, "not now", nullptr);
  }
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  if (std::string(path == nullptr ? "" : path) != "/catalog/members")
    return evhttp_send_reply(request, 404, "not found", nullptr);
  evkeyvalq query{};
  const char* text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  evhttp_parse_query_str(text == nullptr ? "" : text, &query);
  const char* since = evhttp_find_header(&query, "since");
  const bool follow = evhttp_find_header(&query, "follow") != nullptr;
  const std::string body = d->list(follow && since != nullptr ? std::atoll(since) : 0);
  evhttp_clear_headers(&query);
  evbuffer* out = evbuffer_new();
  evbuffer_add_printf(out, "%s\n", body.c_str());
  if (follow) {
    evhttp_send_reply_start(request, 200, "OK");
    evhttp_send_reply_chunk(request, out);
    d->watches_[connection] = request;
    evhttp_connection_set_closecb(connection, onClose, d);
  } else {
    evhttp_send_reply(request, 200, "OK", out);
  }
  evbuffer_free(out);
}

void Discovery::onClose(evhttp_connection* connection, void* self) {
  auto* d = static_cast<Discovery*>(self);
  for (auto* held : {&d->watches_, &d->muted_}) {
    const auto it = held->find(connection);
    if (it == held->end()) continue;
    // libevent has let go of the request; it is ours to free.
    if (evhttp_request_get_connection(it->second) == nullptr) evhttp_request_free(it->second);
    held->erase(it);
  }
}

void Discovery::raw(const std::string& bytes) {
  for (const auto& [connection, request] : watches_) {
    evbuffer* out = evbuffer_new();
    evbuffer_add(out, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request, out);
    evbuffer_free(out);
  }
}

void Discovery::endWatches() {
  for (const auto& [connection, request] : std::exchange(watches_, {})) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    evhttp_send_reply_end(request);
  }
}

void Discovery::breakWatches() {
  for (const auto& [connection, request] : std::exchange(watches_, {})) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    resetOnClose(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
    evhttp_connection_free(connection);
  }
}

// ---- Collector ----

Collector::Collector(event_base* base, const net::Address& to) {
  net::Stream::Handlers handlers;
  handlers.up = [this] { stream_->send(std::exchange(early_, "")); };
  handlers.data = [this](evbuffer* input) {
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    input_ += bytes;
    while (input_.size() >= 4) {
      std::size_t length = 0;
      for (int k = 0; k < 4; ++k) length = length << 8 | static_cast<unsigned char>(input_[k]);
      if (input_.size() < 4 + length) break;
      received.push_back(input_.substr(4, length));
      input_.erase(0, 4 + length);
    }
  };
  handlers.end = [this](log::Reason, const std::string&) { stream_.reset(); };
  stream_ = std::make_unique<net::Stream>(base, to, 1000000, std::move(handlers));
}

void Collector::send(const std::string& body) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(body.size() >> shift & 255));
  sendRaw(bytes + body);
}

void Collector::sendRaw(const std::string& bytes) {
  if (!stream_) return;
  if (stream_->up())
    stream_->send(bytes);
  else
    early_ += bytes;
}

}  // namespace peargrade::standins
