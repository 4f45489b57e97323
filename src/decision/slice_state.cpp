#include "decision/slice_state.h"

#include <algorithm>
#include <variant>

#include "decision/action_target.h"

namespace peargrade::decision {

SliceState::SliceState(Micros now, std::size_t classes)
    : migratedAt(now),
      assignedAt(now),
      demand(classes),
      rates(classes),
      ratios(classes, 1),
      admission(classes) {}

bool SliceState::isPublished() const {
  const auto isSame = [](const auto& route, const auto& wanted) {
    return route.first == wanted.first && route.second.hasWeight(wanted.second);
  };
  return std::equal(published.begin(), published.end(), desired.begin(), desired.end(), isSame);
}

std::vector<Action> SliceState::changedRoutes(TableId table) const {
  std::vector<Action> routes;
  for (const auto& [server, weight] : desired) {
    const auto route = published.find(server);
    if (route == published.end() || !route->second.hasWeight(weight))
      routes.emplace_back(SetRoute{table, server, weight});
  }
  for (const auto& [server, route] : published) {
    if (desired.count(server) == 0) routes.emplace_back(SetRoute{table, server, 0});
  }
  return routes;
}

void SliceState::publish(const SetRoute& route) {
  hasUnpublishedEvacuation = hasUnpublishedEvacuation && route.server != primary;
  if (route.weight > 0)
    published.insert_or_assign(route.server, PublishedRoute::delivered(route.weight));
  else
    published.erase(route.server);
}

// Proxies remove the table's admission together with its routes.
void SliceState::publish(const ClearTable& /*clear*/) {
  published.clear();
  for (PublishedAdmission& held : admission) held.clear();
}

void SliceState::publish(const SetAdmission& action, UpdateNumber update) {
  for (std::size_t requestClass = 0; requestClass < admission.size(); ++requestClass) {
    if (selects(action, requestClass)) admission[requestClass].publish(admissionOf(action), update);
  }
}

void SliceState::recordStored(const ServerId& server, double weight) {
  const auto route = published.find(server);
  const bool mayHaveChanged = route != published.end() && !route->second.isDelivered();
  if (!mayHaveChanged) published.insert_or_assign(server, PublishedRoute::delivered(weight));
}

void SliceState::markUncertain(const Action& action) {
  if (const auto* route = std::get_if<SetRoute>(&action))
    published.insert_or_assign(route->server, PublishedRoute::unknownDelivery());
  if (std::holds_alternative<ClearTable>(action)) {
    handover.removalUpdateId = -1;
    for (PublishedAdmission& held : admission) held.markDeliveryUnknown();
  }
  const auto* set = std::get_if<SetAdmission>(&action);
  for (std::size_t requestClass = 0; set != nullptr && requestClass < admission.size(); ++requestClass) {
    if (selects(*set, requestClass)) admission[requestClass].markDeliveryUnknown(admissionOf(*set));
  }
}

}  // namespace peargrade::decision
