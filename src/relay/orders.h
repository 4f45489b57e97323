// The relay's words: orders in, lines of news out.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "discovery/catalog.h"
#include "peargrade/decision_engine.h"

namespace peargrade::relay {

using discovery::Names;

// One order as the relay reads it. Orders of equal key replace each other; those that set a line say which.
struct Order {
  std::string text;
  std::string key;
  std::optional<SetRoute> line;
  std::optional<TableId> cleared;
  std::optional<AcknowledgementRequest> mark;
};

// Nothing for an action that is no order.
std::optional<Order> toOrder(const Action& action, const Names& names);

// A line of news after its "* "; a bare "*" is a sign of life.
struct SignOfLife {};
using News = std::variant<SignOfLife, ProxyConnected, ProxyDisconnected, UpdateAcknowledged, SliceAssignment,
                          StoredRoute>;

// Throws ParseError.
News parseNews(const std::string& line, const Names& names, int slices);

}  // namespace peargrade::relay
