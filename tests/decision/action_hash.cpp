#include "action_hash.h"

#include <variant>

namespace peargrade::test {
namespace {

void foldFields(Hash& hash, const SetTimer& action) {
  hash.foldInteger(action.delay);
  hash.fold(action.token);
}
void foldFields(Hash& hash, const WatchEndpoints& action) { hash.foldInteger(action.enabled); }
void foldFields(Hash& /*hash*/, const PollEndpoints& /*action*/) {}
void foldFields(Hash& hash, const HealthCheck& action) { hash.fold(action.server); }
void foldFields(Hash& hash, const SendGossip& action) { hash.fold(action.payload); }
void foldFields(Hash& hash, const SetRoute& action) {
  hash.foldInteger(action.table);
  hash.fold(action.server);
  hash.fold(action.weight);
}
void foldFields(Hash& hash, const ClearTable& action) { hash.foldInteger(action.table); }
void foldFields(Hash& hash, const SetEjection& action) {
  hash.fold(action.server);
  hash.foldInteger(action.state == EjectionState::Ejected);
}
void foldFields(Hash& hash, const SetAdmission& action) {
  hash.foldInteger(action.table);
  hash.foldInteger(action.classMask);
  hash.fold(action.ratio);
  hash.foldInteger(static_cast<int>(action.retryPolicy));
}
void foldFields(Hash& hash, const AcknowledgementRequest& action) {
  hash.foldInteger(action.updateId);
  hash.foldInteger(action.everyProxy);
}
void foldFields(Hash& /*hash*/, const Log& /*action*/) {}

}  // namespace

void foldAction(Hash& hash, Micros at, const Action& action) {
  hash.foldInteger(at);
  hash.foldInteger(action.index());
  std::visit([&](const auto& fields) { foldFields(hash, fields); }, action);
}

}  // namespace peargrade::test
