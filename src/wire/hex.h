/// Conversion between bytes and hexadecimal digits.
#pragma once

#include <optional>
#include <string>

namespace peargrade::wire {

/// Encodes each byte as two lower-case digits.
std::string toHex(const std::string& bytes);

/// Decodes `digits`, which may be lower or upper case. Returns nullopt if they are not pairs of hexadecimal
/// digits.
std::optional<std::string> fromHex(const std::string& digits);

}  // namespace peargrade::wire
