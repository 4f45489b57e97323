/// TCP connections for the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "log/close_reason.h"
#include "net/address.h"
#include "net/handles.h"

namespace peargrade::net {

/// One TCP connection, outgoing or accepted. Callbacks run on the event loop's thread. The owner may destroy
/// the Stream in any callback; destruction closes the connection.
class Stream {
 public:
  struct Handlers {
    /// Called when an outgoing connection is established.
    std::function<void()> up;
    /// Called when input has arrived. The handler removes the bytes that it has processed.
    std::function<void(evbuffer*)> data;
    /// Called when the connection has ended, with the reason and a detail for the log. Called at most once,
    /// as the last callback.
    std::function<void(log::CloseReason, const std::string&)> end;
  };
  /// Connects to `to`. If that takes longer than `connectTimeout` microseconds, the connection ends with
  /// ConnectTimeout.
  Stream(event_base* base, const Address& to, Micros connectTimeout, Handlers handlers);
  /// Takes ownership of a connected socket.
  Stream(event_base* base, evutil_socket_t socket, Handlers handlers);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Whether the connection is established.
  bool up() const { return up_; }
  /// Queues bytes; the event loop sends them.
  void send(const std::string& bytes);
  /// Writes queued bytes now, as many as the socket accepts without blocking. For use before destruction,
  /// because the event loop no longer sends them afterwards.
  void flush();
  /// Flushes and closes the sending half, so that the peer reads end of stream after the last byte. Returns
  /// false and leaves the connection open if some bytes could not be written.
  bool halfClose();
  /// Number of queued bytes that have not been written to the socket yet.
  std::size_t unsent() const;

  /// State of the socket's receive buffer: empty, unread bytes, or end of stream (also after an error).
  enum class Waiting { Nothing, Bytes, End };
  /// Checks the receive buffer without reading from it. Costs one system call.
  Waiting waiting() const;

  /// Stops or continues to read. While reading is stopped, the kernel's buffers limit what the peer can send.
  void pauseReading();
  void resumeReading();
  /// Whether the peer has closed its sending half or the connection was reset, although unread bytes may be
  /// left. Costs one system call.
  bool peerHasClosed() const;

  /// Replaces the handlers. A handler that is running stays alive until it returns.
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
