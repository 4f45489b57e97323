// Non-blocking sockets on loopback that a test controls step by step. Bytes are read and written, and
// connections closed, only when the test calls a function, so that races between both sides are reproducible.
// No event loop is involved.
#pragma once

#include <string>

#include "net/net.h"

namespace peargrade::fakes {

/// One connection. Sent bytes are in the receive buffer of the other side when the call returns.
class ManualPeer {
 public:
  explicit ManualPeer(evutil_socket_t fd) : fd_(fd) {}
  /// Connects. The connection is established on return, even if the other side has not accepted it yet.
  explicit ManualPeer(const net::Address& to);
  ManualPeer(ManualPeer&& other) noexcept;
  ManualPeer(const ManualPeer&) = delete;
  ManualPeer& operator=(const ManualPeer&) = delete;
  ManualPeer& operator=(ManualPeer&&) = delete;
  ~ManualPeer();

  /// Returns how many of the bytes were sent.
  std::size_t send(const std::string& bytes);
  /// Everything received so far, without waiting.
  const std::string& read();
  /// Whether read() has found the end of the other side's data, by a close or a reset.
  bool ended() const { return ended_ || reset_; }
  bool wasReset() const { return reset_; }
  /// Whether a send has failed because the connection is closed.
  bool unheard() const { return sendFailed_; }

  /// Closes the sending direction; the other side reads the end of the data and can still send.
  void halfClose();
  /// Closes gracefully; the kernel sends a reset instead if unread bytes remain.
  void close();
  void reset();

 private:
  evutil_socket_t fd_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
  bool sendFailed_ = false;
};

/// A listening socket whose connections stay in the backlog until the test accepts them.
class ManualServer {
 public:
  ManualServer();
  ManualServer(const ManualServer&) = delete;
  ManualServer& operator=(const ManualServer&) = delete;
  ~ManualServer();
  const net::Address& address() const { return address_; }
  /// The next connection of the backlog, or null if it is empty.
  std::unique_ptr<ManualPeer> accept();

 private:
  net::Address address_{"127.0.0.1", 0};
  evutil_socket_t fd_;
};

}  // namespace peargrade::fakes
