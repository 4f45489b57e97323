// The admission of one request class that the proxies hold in one table, as far as it is known.
#pragma once

#include <optional>

#include "decision/applied_updates.h"
#include "decision/update_number.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// What proxies apply to the requests of one class in one table. Both values are set by the same action.
struct Admission {
  /// Share of the requests that proxies admit, 0 to 1.
  double ratio = 1;
  RetryPolicy retryPolicy = RetryPolicy::IfNotExecuted;

  bool operator==(const Admission& other) const {
    return ratio == other.ratio && retryPolicy == other.retryPolicy;
  }
};

/// The last published admission of one class in one table, and how certain it is that the proxies hold it.
///
/// A table without an admission of its own applies that of all tables. Once set, it stays set until the table
/// is cleared or assigned again: its retry policy replaces that of all tables even if its ratio is 1.
class PublishedAdmission {
 public:
  /// The ratio last published; 1 if the table has no admission of its own.
  [[nodiscard]] double ratio() const { return last_ ? last_->ratio : 1; }
  /// Whether the delivery of the last change is unknown, so that it is published again.
  [[nodiscard]] bool isDeliveryUnknown() const { return knowledge_ == Knowledge::DeliveryUnknown; }
  /// Whether every proxy that has missed no update applies `desired`.
  [[nodiscard]] bool isInForce(const Admission& desired) const {
    if (isDeliveryUnknown()) return false;
    return last_ ? *last_ == desired : desired.ratio == 1;
  }
  /// Whether some proxies may retry more failures than `policy` allows because of this admission.
  [[nodiscard]] bool mayRetryMoreThan(RetryPolicy policy) const;

  /// Records that an admission is published with the update of this number.
  void publish(const Admission& admission, UpdateNumber update);
  /// Records that the table is cleared.
  void clear() {
    last_.reset();
    knowledge_ = Knowledge::Certain;
  }
  /// Records that the delivery of `admission` is unknown.
  void markDeliveryUnknown(const Admission& admission);
  /// Records that the delivery of the last change is unknown.
  void markDeliveryUnknown() { knowledge_ = Knowledge::DeliveryUnknown; }
  /// Records that the table may have been reset: the proxies hold the last published admission or none.
  void markPossiblyReset() {
    if (last_) markDeliveryUnknown();
  }
  /// Records that a connected proxy may have missed these updates, and with them the last change.
  void recordMissed(const UpdateRange& missed);

 private:
  enum class Knowledge {
    Certain,          // every connected proxy holds the last published admission
    MissedBySome,     // proxies that connected later may hold an earlier one
    DeliveryUnknown,  // any proxy may hold it, or an earlier one
  };

  Knowledge knowledge_ = Knowledge::Certain;
  std::optional<Admission> last_;
  /// The loosest policy that was ever published.
  RetryPolicy loosest_ = RetryPolicy::Never;
  /// The update that published the last admission.
  UpdateNumber lastUpdate_ = 0;
};

}  // namespace peargrade::decision
