#include "dispatch/dispatcher.h"

namespace peargrade::dispatch {
namespace {

bool isTableAction(const Action& action) {
  return std::holds_alternative<SetRoute>(action) || std::holds_alternative<ClearTable>(action) ||
         std::holds_alternative<SetEjection>(action) || std::holds_alternative<SetAdmission>(action) ||
         std::holds_alternative<AcknowledgementRequest>(action);
}

}  // namespace

std::vector<Action> Dispatcher::dispatch(const std::vector<Action>& actions) {
  TableUpdate update;
  std::vector<Action> remaining;
  for (const Action& action : actions) {
    if (dispatchEndpointListAction(action)) continue;
    std::vector<Action>& target = isTableAction(action) ? update : remaining;
    target.push_back(action);
  }
  if (!update.empty() && tableUpdateSink_) tableUpdateSink_(update);
  return remaining;
}

bool Dispatcher::dispatchEndpointListAction(const Action& action) const {
  EndpointListRequest request = EndpointListRequest::Poll;
  if (const auto* watch = std::get_if<WatchEndpoints>(&action))
    request = watch->enabled ? EndpointListRequest::Watch : EndpointListRequest::Unwatch;
  else if (!std::holds_alternative<PollEndpoints>(action))
    return false;
  if (endpointListSink_) endpointListSink_(request);
  return true;
}

void Dispatcher::relayConnected() {
  relayConnected_ = true;
  notifyIfReady();
}

void Dispatcher::endpointListKnown() {
  endpointListKnown_ = true;
  notifyIfReady();
}

void Dispatcher::readinessTimedOut() {
  relayConnected_ = true;
  endpointListKnown_ = true;
  notifyIfReady();
}

// The sink is cleared before the call, so that it is called only once.
void Dispatcher::notifyIfReady() {
  if (!ready() || !readySink_) return;
  const std::function<void()> sink = std::exchange(readySink_, nullptr);
  sink();
}

}  // namespace peargrade::dispatch
