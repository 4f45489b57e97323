#include "dns_zone/secondary.h"

#include <algorithm>

#include "dns_zone/zone.h"

namespace peargrade::dns_zone {
namespace {

constexpr Micros kSecond = 1000000;

}  // namespace

Secondary::Step Secondary::ask() {
  busy_ = true;
  Step step;
  step.what = soa_ ? Step::Do::AskSoa : Step::Do::Transfer;
  step.whole = !soa_;
  step.primary = primary_;
  return step;
}

Secondary::Step Secondary::wait(Micros span, Micros now) {
  busy_ = false;
  if (notified_) {
    // Handle the NOTIFY that arrived during the query or transfer.
    primary_ = *notified_;
    notified_.reset();
    return ask();
  }
  Step step;
  step.at = now + span;
  return step;
}

Secondary::Step Secondary::begin(std::optional<Soa> storedSoa, Micros freshAt, Micros) {
  soa_ = storedSoa;
  if (storedSoa)
    expiresAt_ = freshAt + std::max(settings_.minExpire, static_cast<Micros>(storedSoa->expire) * kSecond);
  return ask();
}

Secondary::Step Secondary::due(Micros) { return ask(); }

Secondary::Step Secondary::answered(std::uint32_t serial, Micros now) {
  if (soa_ && !later(serial, soa_->serial) && serial == soa_->serial) return transferred(*soa_, now);
  // An earlier serial is transferred as well: SerialPolicy decides and reports.
  Step step;
  step.what = Step::Do::Transfer;
  step.primary = primary_;
  step.whole = !soa_ || !later(serial, soa_->serial);
  return step;
}

Secondary::Step Secondary::transferred(const Soa& soa, Micros now) {
  soa_ = soa;
  failures_ = 0;
  expiresAt_ = now + std::max(settings_.minExpire, static_cast<Micros>(soa.expire) * kSecond);
  return wait(
      std::clamp(static_cast<Micros>(soa.refresh) * kSecond, settings_.minRefresh, settings_.maxRefresh),
      now);
}

Secondary::Step Secondary::refused(Micros now) {
  failures_ = 0;
  const Micros refresh = soa_ ? static_cast<Micros>(soa_->refresh) * kSecond : settings_.minRefresh;
  return wait(std::clamp(refresh, settings_.minRefresh, settings_.maxRefresh), now);
}

Secondary::Step Secondary::unfit(Micros) {
  Step step;
  step.what = Step::Do::Transfer;
  step.primary = primary_;
  step.whole = true;
  return step;
}

Secondary::Step Secondary::failed(Micros now) {
  ++failures_;
  primary_ = (primary_ + 1) % settings_.primaries;
  // Every primary is attempted before the first wait.
  if (failures_ % static_cast<int>(settings_.primaries) != 0) return ask();
  const Micros soaRetry = soa_ ? static_cast<Micros>(soa_->retry) * kSecond : settings_.minRetry;
  const int rounds = failures_ / static_cast<int>(settings_.primaries);
  const Micros backoff = settings_.minRetry << std::min(rounds - 1, 16);
  return wait(std::clamp(std::min(soaRetry, backoff), settings_.minRetry, settings_.maxRetry), now);
}

std::optional<Secondary::Step> Secondary::notified(std::size_t primary, Micros) {
  if (busy_) {
    notified_ = primary;
    return std::nullopt;
  }
  primary_ = primary;
  return ask();
}

}  // namespace peargrade::dns_zone
