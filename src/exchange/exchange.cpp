#include "exchange/exchange.h"

namespace peargrade::exchange {

std::vector<Action> Exchange::carry(const std::vector<Action>& actions) {
  Orders orders;
  std::vector<Action> rest;
  for (const Action& action : actions) {
    if (const auto* watch = std::get_if<WatchEndpoints>(&action)) {
      if (list_) list_(watch->enabled ? ListCall::Watch : ListCall::Unwatch);
    } else if (std::holds_alternative<PollEndpoints>(action)) {
      if (list_) list_(ListCall::Fetch);
    } else if (std::holds_alternative<SetRoute>(action) || std::holds_alternative<ClearTable>(action) ||
               std::holds_alternative<SetEjection>(action) || std::holds_alternative<SetAdmission>(action) ||
               std::holds_alternative<AcknowledgementRequest>(action)) {
      orders.push_back(action);
    } else {
      rest.push_back(action);
    }
  }
  if (!orders.empty() && orders_) orders_(orders);
  return rest;
}

void Exchange::tell() {
  if (ready() && ready_) std::exchange(ready_, nullptr)();
}

}  // namespace peargrade::exchange
