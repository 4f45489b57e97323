/// IPv4 socket addresses.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

namespace peargrade::net {

/// An IPv4 address and a port, as in "127.0.0.1:3000".
struct Address {
  std::string host;  ///< Dotted decimal; host names would need a resolver.
  std::uint16_t port = 0;

  /// Parses "HOST:PORT"; nothing if either part is malformed.
  static std::optional<Address> parse(const std::string& text);
  /// The form that parse() reads.
  std::string text() const { return host + ":" + std::to_string(port); }
  sockaddr_in socket() const;
};

}  // namespace peargrade::net
