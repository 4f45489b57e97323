#include "net/datagram.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace peargrade::net {
namespace {

constexpr int kRandomPortAttempts = 16;  // if all fail, the system chooses the port
constexpr std::uint32_t kPortMin = 1024;
constexpr std::uint32_t kPortCount = 65536 - kPortMin;
constexpr std::size_t kDatagramMax = 65536;  // bytes
constexpr int kReadsPerTurn = 16;  // datagrams read per event, so that other sockets are not delayed

}  // namespace

Datagram::Datagram(event_base* base, const Address& to, const std::function<std::uint32_t()>& random,
                   Handlers handlers)
    : socket_(::socket(AF_INET, SOCK_DGRAM, 0)), handlers_(std::make_shared<Handlers>(std::move(handlers))) {
  if (socket_ < 0) return;
  evutil_make_socket_nonblocking(socket_);
  evutil_make_socket_closeonexec(socket_);
  bindRandomPort(random);
  const sockaddr_in peer = to.socket();
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
    close(socket_);
    socket_ = -1;
    return;
  }
  const auto onReadable = [](evutil_socket_t, short, void* self) { static_cast<Datagram*>(self)->read(); };
  readable_.reset(requireHandle(event_new(base, socket_, EV_READ | EV_PERSIST, onReadable, this)));
  event_add(readable_.get(), nullptr);
}

Datagram::~Datagram() {
  readable_.reset();
  if (socket_ >= 0) close(socket_);
}

void Datagram::bindRandomPort(const std::function<std::uint32_t()>& random) {
  for (int attempt = 0; attempt < kRandomPortAttempts; ++attempt) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_port = htons(static_cast<std::uint16_t>(kPortMin + random() % kPortCount));
    if (bind(socket_, reinterpret_cast<sockaddr*>(&own), sizeof own) == 0) return;
  }
}

bool Datagram::send(const std::string& bytes) {
  if (socket_ < 0) return false;
  const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  return sent == static_cast<ssize_t>(bytes.size());
}

std::uint16_t Datagram::port() const {
  sockaddr_in own{};
  socklen_t size = sizeof own;
  if (socket_ < 0 || getsockname(socket_, reinterpret_cast<sockaddr*>(&own), &size) != 0) return 0;
  return ntohs(own.sin_port);
}

void Datagram::read() {
  // A callback may destroy this object, and with it handlers_. The local shared pointer keeps the handlers
  // alive during the call; if it is then the only reference, the object has been destroyed.
  const std::weak_ptr<Handlers> ownersHandlers = handlers_;
  std::string bytes;
  for (int reads = 0; reads < kReadsPerTurn; ++reads) {
    bytes.resize(kDatagramMax);
    const ssize_t size = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    const auto handlers = ownersHandlers.lock();
    if (size < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
      if (handlers && handlers->failed) handlers->failed(std::strerror(errno));
      return;
    }
    bytes.resize(static_cast<std::size_t>(size));
    if (handlers->data) handlers->data(bytes);
    const bool isDestroyed = handlers.use_count() == 1;
    if (isDestroyed) return;
  }
}

}  // namespace peargrade::net
