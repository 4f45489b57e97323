/// The simulator's wire: a batch of events a line in, a reply with actions a line out. The codec translates
/// names and units and checks ranges; it decides nothing.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "errors/parse_error.h"
#include "peargrade/actions.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"
#include "peargrade/types.h"

namespace peargrade::wire {

/// An instance starts, in place of an earlier one with its number. Wire: `newInstance`.
struct NewInstance {
  std::uint64_t seed = 0;  ///< Of the instance's random numbers.
  Settings settings;
};

/// An instance is killed. Wire: `retire`.
struct Retire {};

using Input = std::variant<NewInstance, Retire, Event>;

/// What one instance receives in a batch, in order.
struct InputGroup {
  int supervisor = 0;  ///< The instance's number.
  std::vector<Input> input;
};

struct Batch {
  Micros now = 0;         ///< The batch's clock, in microseconds.
  std::int64_t turn = 0;  ///< The batch's number; the reply repeats it.
  std::vector<InputGroup> groups;
};

/// What one instance answers, in order.
struct ReplyGroup {
  int supervisor = 0;  ///< The instance's number.
  std::vector<Action> out;
};

struct Reply {
  std::int64_t turn = 0;
  std::vector<ReplyGroup> groups;
};

/// Throws ParseError that names the batch, the instance and the field.
Batch parseBatch(const std::string& line);

/// Without a line end.
std::string writeReply(const Reply& reply);

}  // namespace peargrade::wire
