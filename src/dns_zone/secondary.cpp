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
  step.what = held_ ? Step::Do::AskSoa : Step::Do::Transfer;
  step.whole = !held_;
  step.primary = primary_;
  return step;
}

Secondary::Step Secondary::wait(Micros span, Micros now) {
  busy_ = false;
  if (notified_) {
    // What was told of meanwhile is looked at now.
    primary_ = *notified_;
    notified_.reset();
    return ask();
  }
  Step step;
  step.at = now + span;
  return step;
}

Secondary::Step Secondary::begin(std::optional<Soa> held, Micros freshAt, Micros) {
  held_ = held;
  if (held)
    expiresAt_ = freshAt + std::max(settings_.expireLeast, static_cast<Micros>(held->expire) * kSecond);
  return ask();
}

Secondary::Step Secondary::due(Micros) { return ask(); }

Secondary::Step Secondary::answered(std::uint32_t serial, Micros now) {
  if (held_ && !later(serial, held_->serial) && serial == held_->serial) return transferred(*held_, now);
  // Another serial, be it an earlier one: whoever takes the zone judges and tells.
  Step step;
  step.what = Step::Do::Transfer;
  step.primary = primary_;
  step.whole = !held_ || !later(serial, held_->serial);
  return step;
}

Secondary::Step Secondary::transferred(const Soa& soa, Micros now) {
  held_ = soa;
  failures_ = 0;
  expiresAt_ = now + std::max(settings_.expireLeast, static_cast<Micros>(soa.expire) * kSecond);
  return wait(
      std::clamp(static_cast<Micros>(soa.refresh) * kSecond, settings_.refreshLeast, settings_.refreshMost),
      now);
}

Secondary::Step Secondary::refused(Micros now) {
  failures_ = 0;
  const Micros refresh = held_ ? static_cast<Micros>(held_->refresh) * kSecond : settings_.refreshLeast;
  return wait(std::clamp(refresh, settings_.refreshLeast, settings_.refreshMost), now);
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
  // The others are asked before anyone is waited for.
  if (failures_ % static_cast<int>(settings_.primaries) != 0) return ask();
  const Micros stated = held_ ? static_cast<Micros>(held_->retry) * kSecond : settings_.retryLeast;
  const int rounds = failures_ / static_cast<int>(settings_.primaries);
  const Micros grown = settings_.retryLeast << std::min(rounds - 1, 16);
  return wait(std::clamp(std::min(stated, grown), settings_.retryLeast, settings_.retryMost), now);
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
