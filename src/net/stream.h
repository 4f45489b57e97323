/// TCP connections of the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "log/close_reason.h"
#include "net/address.h"
#include "net/handles.h"

namespace peargrade::net {

/// One TCP connection, outgoing or accepted. Callbacks run on the loop's thread; in any of them the owner may
/// destroy the Stream, which closes the connection.
class Stream {
 public:
  struct Handlers {
    /// An outgoing connection is established.
    std::function<void()> up;
    /// Input has arrived. The handler drains what it uses.
    std::function<void(evbuffer*)> data;
    /// The connection has ended, with a detail for the log. Called at most once, as the last callback.
    std::function<void(log::CloseReason, const std::string&)> end;
  };
  /// Connects to `to`; fails with ConnectTimeout after `connectTimeout` microseconds.
  Stream(event_base* base, const Address& to, Micros connectTimeout, Handlers handlers);
  /// Takes ownership of a connected socket.
  Stream(event_base* base, evutil_socket_t socket, Handlers handlers);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Whether the connection is established.
  bool up() const { return up_; }
  /// Queues bytes for sending.
  void send(const std::string& bytes);
  /// Writes queued bytes at once, as far as the socket takes them without waiting. For use before
  /// destruction.
  void flush();
  /// Flushes and closes the sending half; the peer reads end of stream after the last byte. False, and
  /// nothing is closed, if some bytes could not be written.
  bool halfClose();
  /// Queued bytes that the socket has not taken yet.
  std::size_t unsent() const;

  /// What the socket holds that was not read yet.
  enum class Waiting { Nothing, Bytes, End };
  /// Costs one system call.
  Waiting waiting() const;

  /// Replaces the handlers. A handler that is being called stays alive until it returns.
  void setHandlers(Handlers handlers) { handlers_ = std::make_shared<Handlers>(std::move(handlers)); }

 private:
  static void onRead(bufferevent*, void* self);
  static void onEvent(bufferevent*, short events, void* self);
  void start();

  std::shared_ptr<Handlers> handlers_;
  bool up_ = false;
  BufferHandle buffer_;
};

}  // namespace peargrade::net
