#include "membership/address_state.h"

#include <algorithm>
#include <tuple>

namespace peargrade::membership {

void RecordView::refresh(const ServiceRecord& listed, Micros asOf, Micros completeBefore) {
  if (presence == Presence::Absent) {
    if (lastListed == 0 || asOf > leftOutAt) {
      appearedAt = asOf;
      absentAt = completeBefore;
    }
    record = listed;
  } else if (asOf == lastListed) {
    // For two responses of the same time, use the better values regardless of the order of arrival.
    record.expiresAt = std::max(record.expiresAt, listed.expiresAt);
    if (std::tuple(listed.priority, -listed.weight) < std::tuple(record.priority, -record.weight)) {
      record.priority = listed.priority;
      record.weight = listed.weight;
    }
  } else if (asOf > lastListed) {
    const Micros expiresAt = std::max(record.expiresAt, listed.expiresAt);
    record = listed;
    record.expiresAt = expiresAt;
  }
  presence = Presence::Listed;
  lastListed = std::max(lastListed, asOf);
  leftOutAt = 0;
  confirmationDeadline = 0;
}

void RecordView::awaitConfirmation(Micros asOf, Micros deadline) {
  presence = Presence::Unconfirmed;
  leftOutAt = asOf;
  confirmationDeadline = deadline;
}

void RecordView::remove(Micros asOf) {
  presence = Presence::Absent;
  leftOutAt = asOf;
  confirmationDeadline = 0;
}

AddressState::AddressState(std::size_t sources) {
  views.reserve(sources);
  for (std::size_t source = 0; source < sources; ++source) views.emplace_back(source);
}

bool AddressState::isPresent() const {
  return std::any_of(views.begin(), views.end(), [](const RecordView& view) { return view.isPresent(); });
}

Micros AddressState::restartedAt() const {
  Micros earliest = 0;
  for (const RecordView& view : views) {
    if (!view.isPresent() || view.absentAt <= removal.at) continue;
    earliest = earliest == 0 ? view.appearedAt : std::min(earliest, view.appearedAt);
  }
  return earliest;
}

bool AddressState::drainAppliesTo(Micros startedAt) const { return drainedAt != 0 && startedAt <= drainedAt; }

}  // namespace peargrade::membership
