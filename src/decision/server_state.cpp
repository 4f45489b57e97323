#include "decision/server_state.h"

#include <algorithm>
#include <utility>

namespace peargrade::decision {

void OutlierRecord::eject(Micros now, Micros minEjectionTime) {
  state_ = State::Outlier;
  ejectionTime_ = std::max(minEjectionTime, 2 * ejectionTime_);
  until_ = now + ejectionTime_;
}

void ServerState::restart(Micros now) {
  ServerState fresh;
  fresh.changedAt = now;
  fresh.hotspot.relievedAt = now;
  fresh.firstSeenAt = firstSeenAt;
  fresh.ejection = ejection;
  fresh.isConfirmed = isConfirmed;
  std::swap(*this, fresh);
}

void ServerState::update(const Endpoint& listed, Micros now, bool removalIsAdvisory) {
  const Micros startedAt = std::max(endpoint.startedAt, listed.startedAt);
  const EndpointState stateBefore = endpoint.state;
  endpoint = listed;
  endpoint.startedAt = startedAt;
  isListed = listed.state != EndpointState::Removed;
  if (!isListed && removalIsAdvisory) endpoint.state = stateBefore;
  if (firstSeenAt == 0) firstSeenAt = now;
}

}  // namespace peargrade::decision
