#include "net/backoff.h"

#include <algorithm>

namespace peargrade::net {

Micros Backoff::next() {
  const Micros wait = std::uniform_int_distribution<Micros>(current_ / 2, current_)(random_);
  current_ = std::min(2 * current_, max_);
  return wait;
}

}  // namespace peargrade::net
