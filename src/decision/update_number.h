// The number of an update of the proxies.
#pragma once

#include <cstdint>

namespace peargrade::decision {

/// Number of an update, counted from 1 since the start of the engine; 0: before the first one. In contrast to
/// the id of an AcknowledgementRequest it does not wrap around.
using UpdateNumber = std::uint64_t;

}  // namespace peargrade::decision
