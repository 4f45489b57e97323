// JSON codec for the simulator's wire: one line in, one line out. It translates and checks; it decides
// nothing.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "errors/parse_error.h"
#include "peargrade/decision_engine.h"

namespace peargrade::wire {

struct NewInstance {
  std::uint64_t seed = 0;
  Settings settings;
};
struct Retire {};
using Input = std::variant<NewInstance, Retire, Event>;

struct InputGroup {
  int supervisor = 0;
  std::vector<Input> input;
};
struct Batch {
  Micros now = 0;
  std::int64_t turn = 0;
  std::vector<InputGroup> groups;
};

struct ReplyGroup {
  int supervisor = 0;
  std::vector<Action> out;
};
struct Reply {
  std::int64_t turn = 0;
  std::vector<ReplyGroup> groups;
};

Batch parseBatch(const std::string& line);
std::string writeReply(const Reply& reply);

}  // namespace peargrade::wire
