#include "fakes/relay.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "fakes/sockets.h"

namespace peargrade::fakes {
namespace {

constexpr std::size_t kLineEndBytes = 2;  // CRLF
constexpr Micros kHeartbeatInterval = 1000000;

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

// The watch events that assign a slice to the supervisor, with the stored routes of the slice.
std::string formatAssignment(int slice, const std::map<std::string, std::string>& routes) {
  const std::string number = std::to_string(slice);
  std::string text = "* owner " + number + " 1\r\n";
  for (const auto& [host, weight] : routes) {
    text.append("* entry ").append(number).append(" ").append(host).append(" ").append(weight).append("\r\n");
  }
  return text;
}

}  // namespace

Relay::Relay(event_base* base, const std::string& host, std::uint16_t port)
    : base_(base), address_{host, port}, heartbeatTimer_(base, [this] {
        if (lifeSigns) life();
        heartbeatTimer_.schedule(kHeartbeatInterval);
      }) {
  listen();
  heartbeatTimer_.schedule(kHeartbeatInterval);
}

void Relay::listen() {
  sockaddr_in at = address_.socket();
  const auto accepted = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<Relay*>(self)->accept(fd);
  };
  listener_.reset(evconnlistener_new_bind(base_, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                          -1, reinterpret_cast<sockaddr*>(&at), sizeof at));
  if (!listener_) throw std::runtime_error("fake relay: cannot listen on " + address_.text());
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
  const PeerPosition peer = std::prev(peers_.end());
  fds_[peer] = fd;
  const auto onEnd = [this, peer](log::CloseReason, const std::string&) {
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
  peer->stream = std::make_unique<net::Stream>(base_, fd, net::Stream::Handlers{nullptr, data, onEnd});
}

void Relay::onLine(PeerPosition peer, const std::string& line, bool& closed) {
  if (line == "WATCH") {
    ++watches;
    peer->watching = true;
    in.add("watch", line.size() + kLineEndBytes);
    if (muteNews) return;
    const std::string text = "OK\r\n" + snapshot();
    return send(*peer, "standing", text,
                static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n')));
  }
  if (line.compare(0, 6, "APPLY ") != 0) {
    in.add("unknown", line.size() + kLineEndBytes);
    return send(*peer, "answer", "ERR invalid\r\n");
  }
  in.add("apply", line.size() + kLineEndBytes);
  const std::string commands = line.substr(6);
  if (keep) calls.push_back(commands);
  Fault fault = Fault::None;
  if (!faults.empty()) {
    fault = faults.front();
    faults.pop_front();
  }
  const auto reset = [&] {
    resetOnClose(fds_[peer]);
    fds_.erase(peer);
    peers_.erase(peer);
    closed = true;
  };
  switch (fault) {
    case Fault::None:
      return send(*peer, "answer", "OK " + std::to_string(executeCall(commands)) + "\r\n");
    case Fault::BreakBefore:
      return reset();
    case Fault::BreakAfter:
      executeCall(commands);
      return reset();
    case Fault::Silent:
      return;
    case Fault::Held:
      peer->heldAnswer = "OK " + std::to_string(executeCall(commands)) + "\r\n";
      return;
    case Fault::Garbage:
      executeCall(commands);
      return send(*peer, "answer", "\x01\x02 what\r\n");
    case Fault::Throttled:
      return send(*peer, "answer", "ERR throttled\r\n");
    case Fault::Invalid:
      return send(*peer, "answer", "ERR invalid\r\n");
  }
}

std::size_t Relay::executeCall(const std::string& commands) {
  std::size_t count = 0;
  for (const std::string& order : split(commands, ';')) {
    if (!executeCommand(order)) break;
    ++count;
    if (keep) orders.push_back(order);
    if (onOrder) onOrder(order);
  }
  if (onCall) onCall(commands);
  return count;
}

bool Relay::executeCommand(const std::string& order) {
  const std::vector<std::string> words = split(order, ',');
  if (words[0] == "put" && words.size() == 4) {
    if (!servers.empty() && servers.count(words[2]) == 0) return false;
    const auto it = slices.find(std::atoi(words[1].c_str()));
    if (it == slices.end()) return true;  // an unassigned slice: the command is accepted without effect
    if (std::atof(words[3].c_str()) > 0)
      it->second[words[2]] = words[3];
    else
      it->second.erase(words[2]);
    return true;
  }
  if (words[0] == "wipe" && words.size() == 2) {
    const auto it = slices.find(std::atoi(words[1].c_str()));
    if (it != slices.end()) it->second.clear();
    return true;
  }
  if (words[0] == "eject" || words[0] == "uneject")
    return words.size() == 2 && (servers.empty() || servers.count(words[1]) > 0);
  return (words[0] == "gate" && words.size() == 5) || (words[0] == "fence" && words.size() == 3);
}

std::string Relay::snapshot() const {
  std::string text;
  for (const auto& [id, proxy] : proxies) {
    text += "* attach " + std::to_string(id) + " " + proxy.az + " " + number(proxy.share) +
            (proxy.standing ? " 1\r\n" : " 0\r\n");
  }
  for (const auto& [slice, routes] : slices) text += formatAssignment(slice, routes);
  return text;
}

void Relay::send(Peer& peer, const char* kind, const std::string& bytes, std::uint64_t messages) {
  out.add(kind, bytes.size(), messages);
  peer.stream->send(bytes);
  unsentMost = std::max(unsentMost, peer.stream->unsent());
}

void Relay::broadcast(const char* kind, const std::string& bytes) {
  if (muteNews) return;
  for (Peer& peer : peers_) {
    if (peer.watching) send(peer, kind, bytes);
  }
}

void Relay::raw(const std::string& bytes) { broadcast("other", bytes); }

void Relay::attach(int proxy, const Proxy& how) {
  proxies[proxy] = how;
  broadcast("attach", "* attach " + std::to_string(proxy) + " " + how.az + " " + number(how.share) +
                          (how.standing ? " 1" : " 0") + "\r\n");
}

void Relay::detach(int proxy) {
  proxies.erase(proxy);
  broadcast("detach", "* detach " + std::to_string(proxy) + "\r\n");
}

void Relay::give(int slice, const std::map<std::string, std::string>& lines) {
  slices[slice] = lines;
  broadcast("owner", formatAssignment(slice, lines));
}

void Relay::take(int slice) {
  slices.erase(slice);
  broadcast("owner", "* owner " + std::to_string(slice) + " 0\r\n");
}

void Relay::done(int proxy, int mark, double lagMs) {
  broadcast("done",
            "* done " + std::to_string(proxy) + " " + std::to_string(mark) + " " + number(lagMs) + "\r\n");
}

void Relay::answerHeld() {
  for (Peer& peer : peers_) peer.stream->send(std::exchange(peer.heldAnswer, ""));
}

void Relay::breakNews() {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const PeerPosition at = peer++;
    if (!at->watching) continue;
    resetOnClose(fds_[at]);
    fds_.erase(at);
    peers_.erase(at);
  }
}

void Relay::closeCalls() {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const PeerPosition at = peer++;
    if (at->watching) continue;
    fds_.erase(at);
    peers_.erase(at);
  }
}

}  // namespace peargrade::fakes
