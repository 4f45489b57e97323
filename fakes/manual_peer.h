// A peer that a test plays by hand, byte by byte: nothing is read, written or closed but when the test says
// so, so that what crosses on the way crosses every time. Plain sockets on loopback, no loop.
#pragma once

#include <string>

#include "net/net.h"

namespace peargrade::fakes {

// One connection. What a call sends is at the other end when the call returns.
class ManualPeer {
 public:
  explicit ManualPeer(evutil_socket_t fd) : fd_(fd) {}
  // Dials; it is up when this returns, whether the other side has taken it in or not.
  explicit ManualPeer(const net::Address& to);
  ManualPeer(ManualPeer&& other) noexcept;
  ManualPeer(const ManualPeer&) = delete;
  ManualPeer& operator=(const ManualPeer&) = delete;
  ManualPeer& operator=(ManualPeer&&) = delete;
  ~ManualPeer();

  std::size_t send(const std::string& bytes);  // returns how much of it was taken
  const std::string& read();                   // what has come so far, without waiting
  // Whether the other side has ended its half, in order or by a reset; it has if all that came was read.
  bool ended() const { return ended_ || reset_; }
  bool wasReset() const { return reset_; }
  bool unheard() const { return unheard_; }  // what is sent finds nobody there

  void halfClose();  // ends its own half: the other side reads an end, and may go on writing
  void close();      // in order; unread bytes make it a reset
  void reset();

 private:
  evutil_socket_t fd_;
  std::string received_;
  bool ended_ = false, reset_ = false, unheard_ = false;
};

// A listener whose connections wait until the test takes them in.
class ManualServer {
 public:
  ManualServer();
  ManualServer(const ManualServer&) = delete;
  ManualServer& operator=(const ManualServer&) = delete;
  ~ManualServer();
  const net::Address& address() const { return address_; }
  // The next connection, if one is there.
  std::unique_ptr<ManualPeer> accept();

 private:
  net::Address address_{"127.0.0.1", 0};
  evutil_socket_t fd_;
};

}  // namespace peargrade::fakes
