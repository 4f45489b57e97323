// Batches in the form of the simulator's wire.
#pragma once

#include <string>

namespace peargrade::wire {

// A batch with the number 12 that holds `events` for one instance.
inline std::string batch(const std::string& events, int supervisor = 3) {
  return R"({"wallUs":1000,"turn":12,"groups":[{"supervisor":)" + std::to_string(supervisor) +
         R"(,"input":[)" + events + "]}]}";
}

}  // namespace peargrade::wire
