#include "fakes/manual_peer.h"

#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <utility>

#include "fakes/sockets.h"

namespace peargrade::fakes {
namespace {

void makeNonblockingWithoutDelay(evutil_socket_t fd) {
  evutil_make_socket_nonblocking(fd);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

ManualPeer::ManualPeer(const net::Address& to) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
  const sockaddr_in at = to.socket();
  if (::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
    throw std::runtime_error("manual peer: cannot connect to " + to.text());
  makeNonblockingWithoutDelay(fd_);
}

ManualPeer::ManualPeer(ManualPeer&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      received_(std::move(other.received_)),
      ended_(other.ended_),
      reset_(other.reset_),
      sendFailed_(other.sendFailed_) {}

ManualPeer::~ManualPeer() { close(); }

std::size_t ManualPeer::send(const std::string& bytes) {
  const ssize_t size = ::send(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  sendFailed_ = sendFailed_ || (size < 0 && errno != EAGAIN && errno != EINTR);
  return size < 0 ? 0 : static_cast<std::size_t>(size);
}

const std::string& ManualPeer::read() {
  char chunk[65536];
  while (fd_ >= 0 && !ended()) {
    const ssize_t size = ::recv(fd_, chunk, sizeof chunk, MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) break;
    if (size > 0)
      received_.append(chunk, static_cast<std::size_t>(size));
    else
      (size == 0 ? ended_ : reset_) = true;
  }
  return received_;
}

void ManualPeer::halfClose() { ::shutdown(fd_, SHUT_WR); }

void ManualPeer::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void ManualPeer::reset() {
  resetOnClose(fd_);
  close();
}

ManualServer::ManualServer() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in at = address_.socket();
  socklen_t size = sizeof at;
  if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd_, 64) != 0 ||
      ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    throw std::runtime_error("manual server: cannot listen on 127.0.0.1");
  evutil_make_socket_nonblocking(fd_);
  address_.port = ntohs(at.sin_port);
}

ManualServer::~ManualServer() { ::close(fd_); }

std::unique_ptr<ManualPeer> ManualServer::accept() {
  const evutil_socket_t fd = ::accept(fd_, nullptr, nullptr);
  if (fd < 0) return nullptr;
  makeNonblockingWithoutDelay(fd);
  return std::make_unique<ManualPeer>(fd);
}

}  // namespace peargrade::fakes
