#include "decision/update_budget.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace peargrade::decision {
namespace {

/// What a priority may use.
struct PriorityShare {
  double messages;  // share of the message limit
  double routes;    // share of the pending limit
};

/// By priority.
constexpr std::array<PriorityShare, 5> kShares{{
    {0.95, 0.9},
    {0.7, 0.75},
    {0.55, 0.6},
    {0.5, 0.5},
    {0.4, 0.25},
}};
/// Without acknowledgements the channel is taken to be so many times slower than stated.
constexpr double kSlowestChannel = 16;
/// An update waits for this share of a message's capacity.
constexpr double kLeastMessageShare = 0.25;
/// Interval of updates without evacuations.
constexpr Micros kRoutineInterval = 500 * kMillisecond;

const PriorityShare& shareOf(UpdatePriority priority) {
  return kShares.at(static_cast<std::size_t>(priority));
}

}  // namespace

bool PendingUpdate::operator<(const PendingUpdate& other) const {
  return std::tie(priority, order, table) < std::tie(other.priority, other.order, other.table);
}

double UpdateBudget::receivers() const {
  const double announced = settings_.slices > 0 ? static_cast<double>(settings_.proxies) : 0.0;
  return std::max({1.0, channel_.proxyCount(), announced});
}

double UpdateBudget::slowestRate() const { return settings_.routesPerSecond / kSlowestChannel; }

double UpdateBudget::messageOverhead() const {
  return settings_.messageOverheadRoutes + static_cast<double>(settings_.classes.size()) + 1;
}

double UpdateBudget::emptyChannelCapacity(UpdatePriority priority) const {
  return settings_.pendingRoutesMax * shareOf(priority).routes / receivers();
}

double UpdateBudget::capacityLeft(UpdatePriority priority) const {
  const double routes = settings_.pendingRoutesMax * shareOf(priority).routes - routesInFlight();
  return routes / receivers() - messageOverhead();
}

bool UpdateBudget::hasMessageLeft(UpdatePriority priority) {
  if (settings_.messagesPerProxyMax <= 0) return true;
  const double mostMessages = shareOf(priority).messages * settings_.messagesPerProxyMax;
  return channel_.messagesWithin(clock_.now(), settings_.messageWindow) < mostMessages;
}

bool UpdateBudget::mayAskForAcknowledgements() {
  if (!acknowledgementsMissed_ || !hasMessageLeft(UpdatePriority::Critical)) return false;
  return routesInFlight() + messageOverhead() * receivers() <= settings_.pendingRoutesMax;
}

bool UpdateBudget::maySend(UpdatePriority first, double routes, bool isRetry) {
  if (!hasMessageLeft(first)) return false;
  const bool goesInParts = isRetry || acknowledgementsMissed_;
  const double least = goesInParts ? 1 : kLeastMessageShare * emptyChannelCapacity(first);
  if (routesInFlight() > 0 && capacityLeft(first) < std::min(routes, least)) return false;
  return first <= UpdatePriority::Evacuation || clock_.now() - lastSentAt_ >= kRoutineInterval;
}

int UpdateBudget::send(double routes) {
  lastSentAt_ = clock_.now();
  acknowledgementsMissed_ = false;
  return channel_.send(clock_.now(), routes, receivers(), slowestRate());
}

void UpdateBudget::recordDelivery(int messages) {
  channel_.recordDelivery(clock_.now(), messages, messageOverhead(), receivers());
}

}  // namespace peargrade::decision
