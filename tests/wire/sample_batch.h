// Sample batches in the form of the simulator protocol.
#pragma once

#include <string>

namespace peargrade::wire {

// Returns batch 12 with `events`, a comma-separated list of JSON events, for one instance.
inline std::string makeBatch(const std::string& events, int supervisor = 3) {
  return R"({"wallUs":1000,"turn":12,"groups":[{"supervisor":)" + std::to_string(supervisor) +
         R"(,"input":[)" + events + "]}]}";
}

}  // namespace peargrade::wire
