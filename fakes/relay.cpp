#include "fakes/relay.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "fakes/sockets.h"

namespace peargrade::fakes {
namespace {

constexpr std::size_t kEnd = 2;  // CRLF

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

Relay::Relay(event_base* base, const std::string& host, std::uint16_t port)
    : base_(base), address_{host, port}, life_(base, [this] {
        if (lifeSigns) life();
        life_.schedule(1000000);
      }) {
  listen();
  life_.schedule(1000000);
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
  const auto gone = [this, peer](log::CloseReason, const std::string&) {
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
    in.add("watch", line.size() + kEnd);
    if (muteNews) return;
    const std::string text = "OK\r\n" + standing();
    return say(*peer, "standing", text,
               static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n')));
  }
  if (line.compare(0, 6, "APPLY ") != 0) {
    in.add("unknown", line.size() + kEnd);
    return say(*peer, "answer", "ERR invalid\r\n");
  }
  in.add("apply", line.size() + kEnd);
  const std::string sent = line.substr(6);
  if (keep) calls.push_back(sent);
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
      return say(*peer, "answer", "OK " + std::to_string(carryOut(sent)) + "\r\n");
    case Fault::BreakBefore:
      return reset();
    case Fault::BreakAfter:
      carryOut(sent);
      return reset();
    case Fault::Silent:
      return;
    case Fault::Held:
      peer->held = "OK " + std::to_string(carryOut(sent)) + "\r\n";
      return;
    case Fault::Garbage:
      carryOut(sent);
      return say(*peer, "answer", "\x01\x02 what\r\n");
    case Fault::Throttled:
      return say(*peer, "answer", "ERR throttled\r\n");
    case Fault::Invalid:
      return say(*peer, "answer", "ERR invalid\r\n");
  }
}

std::size_t Relay::carryOut(const std::string& sent) {
  std::size_t count = 0;
  for (const std::string& order : split(sent, ';')) {
    if (!carryOutOne(order)) break;
    ++count;
    if (keep) orders.push_back(order);
    if (onOrder) onOrder(order);
  }
  if (onCall) onCall(sent);
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

void Relay::say(Peer& peer, const char* kind, const std::string& bytes, std::uint64_t messages) {
  out.add(kind, bytes.size(), messages);
  peer.stream->send(bytes);
  unsentMost = std::max(unsentMost, peer.stream->unsent());
}

void Relay::tell(const char* kind, const std::string& bytes) {
  if (muteNews) return;
  for (Peer& peer : peers_) {
    if (peer.watching) say(peer, kind, bytes);
  }
}

void Relay::raw(const std::string& bytes) { tell("other", bytes); }

void Relay::attach(int proxy, const Proxy& how) {
  proxies[proxy] = how;
  tell("attach", "* attach " + std::to_string(proxy) + " " + how.az + " " + number(how.share) +
                     (how.standing ? " 1" : " 0") + "\r\n");
}

void Relay::detach(int proxy) {
  proxies.erase(proxy);
  tell("detach", "* detach " + std::to_string(proxy) + "\r\n");
}

void Relay::give(int slice, const std::map<std::string, std::string>& lines) {
  slices[slice] = lines;
  std::string text = "* owner " + std::to_string(slice) + " 1\r\n";
  for (const auto& [host, weight] : lines)
    text += "* entry " + std::to_string(slice) + " " + host + " " + weight + "\r\n";
  tell("owner", text);
}

void Relay::take(int slice) {
  slices.erase(slice);
  tell("owner", "* owner " + std::to_string(slice) + " 0\r\n");
}

void Relay::done(int proxy, int mark, double lagMs) {
  tell("done", "* done " + std::to_string(proxy) + " " + std::to_string(mark) + " " + number(lagMs) + "\r\n");
}

void Relay::answerHeld() {
  for (Peer& peer : peers_) peer.stream->send(std::exchange(peer.held, ""));
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

}  // namespace peargrade::fakes
