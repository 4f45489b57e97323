// A hash over a sequence of actions of the decision engine.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>

#include "peargrade/actions.h"

namespace peargrade::test {

/// FNV-1a over 64-bit words.
class Hash {
 public:
  void fold(std::uint64_t word) { value_ = (value_ ^ word) * 0x100000001b3ULL; }
  void fold(double number) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, &number, sizeof bits);
    fold(bits);
  }
  void fold(const std::string& text) {
    for (const unsigned char c : text) fold(static_cast<std::uint64_t>(c));
    fold(static_cast<std::uint64_t>(text.size()));
  }
  template <class Integer>
  void foldInteger(Integer number) {
    fold(static_cast<std::uint64_t>(static_cast<std::int64_t>(number)));
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

/// Adds an action returned at time `at` to the hash: the values of all fields in their order. Names of fields
/// do not matter, and neither does the text of a Log action.
void foldAction(Hash& hash, Micros at, const Action& action);

}  // namespace peargrade::test
