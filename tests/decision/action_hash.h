// A hash over actions of the decision engine.
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

/// Folds an action of time `at` into the hash: the values of all its fields in their order, so that renaming
/// a field changes nothing. The texts of `Log` are left out.
void foldAction(Hash& hash, Micros at, const Action& action);

}  // namespace peargrade::test
