#include "dispatch/dispatcher.h"

namespace peargrade::dispatch {

std::vector<Action> Dispatcher::dispatch(const std::vector<Action>& actions) {
  TableUpdate orders;
  std::vector<Action> rest;
  for (const Action& action : actions) {
    if (const auto* watch = std::get_if<WatchEndpoints>(&action)) {
      if (endpointListSink_)
        endpointListSink_(watch->enabled ? EndpointListRequest::Watch : EndpointListRequest::Unwatch);
    } else if (std::holds_alternative<PollEndpoints>(action)) {
      if (endpointListSink_) endpointListSink_(EndpointListRequest::Poll);
    } else if (std::holds_alternative<SetRoute>(action) || std::holds_alternative<ClearTable>(action) ||
               std::holds_alternative<SetEjection>(action) || std::holds_alternative<SetAdmission>(action) ||
               std::holds_alternative<AcknowledgementRequest>(action)) {
      orders.push_back(action);
    } else {
      rest.push_back(action);
    }
  }
  if (!orders.empty() && tableUpdateSink_) tableUpdateSink_(orders);
  return rest;
}

void Dispatcher::tell() {
  if (ready() && ready_) std::exchange(ready_, nullptr)();
}

}  // namespace peargrade::dispatch
