/// IPv4 socket addresses.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

namespace peargrade::net {

/// An IPv4 address and a port, as in "127.0.0.1:3000".
struct Address {
  std::string host;  ///< In dotted decimal form. Host names are not supported, because they need a resolver.
  std::uint16_t port = 0;

  /// Parses "HOST:PORT". Returns nullopt if either part is malformed.
  static std::optional<Address> parse(const std::string& text);
  /// Returns "HOST:PORT", the format that parse() reads.
  std::string text() const { return host + ":" + std::to_string(port); }
  /// The address as the socket functions take it, in network byte order.
  sockaddr_in socket() const;
};

}  // namespace peargrade::net
