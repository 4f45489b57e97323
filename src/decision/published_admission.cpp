#include "decision/published_admission.h"

#include <algorithm>

namespace peargrade::decision {

bool PublishedAdmission::mayRetryMoreThan(RetryPolicy policy) const {
  if (knowledge_ != Knowledge::Certain && loosest_ > policy) return true;
  return last_ && last_->retryPolicy > policy;
}

void PublishedAdmission::publish(const Admission& admission, UpdateNumber update) {
  knowledge_ = Knowledge::Certain;
  last_ = admission;
  loosest_ = std::max(loosest_, admission.retryPolicy);
  lastUpdate_ = update;
}

void PublishedAdmission::markDeliveryUnknown(const Admission& admission) {
  knowledge_ = Knowledge::DeliveryUnknown;
  loosest_ = std::max(loosest_, admission.retryPolicy);
}

void PublishedAdmission::recordMissed(const UpdateRange& missed) {
  if (missed.contains(lastUpdate_) && knowledge_ == Knowledge::Certain) knowledge_ = Knowledge::MissedBySome;
}

}  // namespace peargrade::decision
