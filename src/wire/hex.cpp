#include "wire/hex.h"

namespace peargrade::wire {
namespace {

constexpr char kDigits[] = "0123456789abcdef";

std::optional<int> digitValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return std::nullopt;
}

}  // namespace

std::string toHex(const std::string& bytes) {
  std::string digits;
  for (const unsigned char byte : bytes) {
    digits.push_back(kDigits[byte >> 4]);
    digits.push_back(kDigits[byte & 15]);
  }
  return digits;
}

std::optional<std::string> fromHex(const std::string& digits) {
  if (digits.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  for (std::size_t index = 0; index < digits.size(); index += 2) {
    const auto high = digitValue(digits[index]);
    const auto low = digitValue(digits[index + 1]);
    if (!high || !low) return std::nullopt;
    bytes.push_back(static_cast<char>(*high * 16 + *low));
  }
  return bytes;
}

}  // namespace peargrade::wire
