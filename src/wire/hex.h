/// Bytes as hexadecimal digits.
#pragma once

#include <optional>
#include <string>

namespace peargrade::wire {

/// Two lower-case digits a byte.
std::string toHex(const std::string& bytes);

/// The bytes that `digits` stand for, in either case; nothing if they are not pairs of hexadecimal digits.
std::optional<std::string> fromHex(const std::string& digits);

}  // namespace peargrade::wire
