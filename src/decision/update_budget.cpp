#include "decision/update_budget.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace peargrade::decision {
namespace {

/// The share of each limit up to which updates of a priority may be sent. The rest is reserved for more
/// urgent updates.
struct LimitShares {
  double messages;  // of the message limit
  double routes;    // of the pending limit
};

/// Indexed by UpdatePriority.
constexpr std::array<LimitShares, 6> kLimitShares{{
    {0.95, 0.9},
    {0.7, 0.75},
    {0.8, 0.85},
    {0.55, 0.6},
    {0.5, 0.5},
    {0.4, 0.25},
}};
/// While acknowledgements are missing, the channel is assumed to be this many times slower than the settings
/// state.
constexpr double kMaxChannelSlowdown = 16;
/// An update that cannot be sent completely waits until the channel has this share of its empty capacity.
/// Otherwise many small messages would use up the message limit.
constexpr double kMinMessageShare = 0.25;
/// Shortest interval between an update and a following one that is less urgent than an evacuation.
constexpr Micros kRoutineUpdateInterval = 500 * kMillisecond;

const LimitShares& limitSharesOf(UpdatePriority priority) {
  return kLimitShares.at(static_cast<std::size_t>(priority));
}

}  // namespace

bool PendingUpdate::operator<(const PendingUpdate& other) const {
  return std::tie(priority, order, table) < std::tie(other.priority, other.order, other.table);
}

double UpdateBudget::receivers() const {
  const double configuredProxies = settings_.slices > 0 ? static_cast<double>(settings_.proxies) : 0.0;
  return std::max({1.0, channel_.proxyCount(), configuredProxies});
}

double UpdateBudget::slowestRate() const { return settings_.routesPerSecond / kMaxChannelSlowdown; }

double UpdateBudget::messageOverhead() const {
  return settings_.messageOverheadRoutes + static_cast<double>(settings_.classes.size()) + 1;
}

double UpdateBudget::emptyChannelCapacity(UpdatePriority priority) const {
  return settings_.pendingRoutesMax * limitSharesOf(priority).routes / receivers();
}

double UpdateBudget::capacityLeft(UpdatePriority priority) const {
  const double routes = settings_.pendingRoutesMax * limitSharesOf(priority).routes - routesInFlight();
  return routes / receivers() - messageOverhead();
}

bool UpdateBudget::isWithinMessageLimit(UpdatePriority priority) {
  if (settings_.messagesPerProxyMax <= 0) return true;
  const double maxMessages = limitSharesOf(priority).messages * settings_.messagesPerProxyMax;
  return channel_.messagesWithin(clock_.now(), settings_.messageWindow) < maxMessages;
}

bool UpdateBudget::canRequestAcknowledgements() {
  if (!acknowledgementsMissed_ || !isWithinMessageLimit(UpdatePriority::Critical)) return false;
  return routesInFlight() + messageOverhead() * receivers() <= settings_.pendingRoutesMax;
}

bool UpdateBudget::canSend(UpdatePriority highestPriority, double routes, bool isRetry) {
  if (!isWithinMessageLimit(highestPriority)) return false;
  const bool allowsAnyCapacity = isRetry || acknowledgementsMissed_;
  const double minRoutes = allowsAnyCapacity ? 1 : kMinMessageShare * emptyChannelCapacity(highestPriority);
  if (routesInFlight() > 0 && capacityLeft(highestPriority) < std::min(routes, minRoutes)) return false;
  return highestPriority <= UpdatePriority::RetryRestriction ||
         clock_.now() - lastSentAt_ >= kRoutineUpdateInterval;
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
