/// JSON codec of the simulator protocol: each input line is a batch of events, each output line is a reply
/// with actions. The codec translates names and units and checks ranges; it makes no decisions.
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

/// Starts an instance; a running instance with the same number is destroyed first. Wire name: `newInstance`.
struct NewInstance {
  std::uint64_t seed = 0;  ///< Seed of the instance's random number generator.
  Settings settings;
};

/// Destroys an instance. Wire name: `retire`.
struct Retire {};

using Input = std::variant<NewInstance, Retire, Event>;

/// The inputs of one instance in a batch, in order.
struct InputGroup {
  int supervisor = 0;  ///< The instance's number.
  std::vector<Input> inputs;
};

struct Batch {
  Micros now = 0;                   ///< Time of the batch, in microseconds.
  std::int64_t sequenceNumber = 0;  ///< Repeated in the reply. Wire name: `turn`.
  std::vector<InputGroup> groups;
};

/// The actions of one instance in a reply, in order.
struct ReplyGroup {
  int supervisor = 0;  ///< The instance's number.
  std::vector<Action> actions;
};

struct Reply {
  std::int64_t sequenceNumber = 0;  ///< Sequence number of the batch.
  std::vector<ReplyGroup> groups;
};

/// Parses one input line. Throws ParseError that names the batch, the instance and the field.
Batch parseBatch(const std::string& line);

/// Returns the reply as one line of JSON, without a line terminator.
std::string writeReply(const Reply& reply);

}  // namespace peargrade::wire
