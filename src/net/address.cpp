#include "net/address.h"

#include <arpa/inet.h>

namespace peargrade::net {
namespace {

constexpr std::size_t kPortDigitsMax = 5;
constexpr int kPortMax = 65535;

std::optional<std::uint16_t> parsePort(const std::string& text) {
  if (text.empty() || text.size() > kPortDigitsMax) return std::nullopt;
  if (text.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  const int port = std::stoi(text);
  if (port > kPortMax) return std::nullopt;
  return static_cast<std::uint16_t>(port);
}

}  // namespace

std::optional<Address> Address::parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Address address;
  address.host = text.substr(0, colon);
  in_addr parsedHost{};
  if (inet_pton(AF_INET, address.host.c_str(), &parsedHost) != 1) return std::nullopt;
  const auto port = parsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  address.port = *port;
  return address;
}

sockaddr_in Address::socket() const {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &native.sin_addr);
  return native;
}

}  // namespace peargrade::net
