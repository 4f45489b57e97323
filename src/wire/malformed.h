#pragma once

#include <stdexcept>

namespace peargrade::wire {

// Input that is not what its page promises. The text names the place and what was wrong.
class Malformed : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Bytes that are no JSON at all.
class NotJson : public Malformed {
  using Malformed::Malformed;
};

}  // namespace peargrade::wire
