#include "dns/cache.h"

#include <algorithm>

namespace peargrade::dns {
namespace {

constexpr Micros kMaxBackoff = 30000000;  // of a question that keeps failing (RFC 8767, section 5)
constexpr Micros kSecond = 1000000;

}  // namespace

Cache::Entry& Cache::touch(const Question& question) {
  auto [at, inserted] = entries_.try_emplace(question);
  if (inserted)
    recentlyUsed_.push_front(question);
  else
    recentlyUsed_.splice(recentlyUsed_.begin(), recentlyUsed_, at->second.usePosition);
  at->second.usePosition = recentlyUsed_.begin();
  return at->second;
}

void Cache::updateSize(const Question& question, Entry& entry) {
  bytes_ -= entry.bytes;
  entry.bytes = sizeof(Entry) + 2 * (question.name.size() + sizeof(Question)) + 96;
  for (const Record& record : entry.result.records) entry.bytes += sizeof(Record) + record.value.capacity();
  bytes_ += entry.bytes;
  evictExcept(question);
}

void Cache::evictExcept(const Question& keep) {
  while (entries_.size() > 1 && (entries_.size() > settings_.cacheEntries || bytes_ > settings_.cacheBytes)) {
    const auto leastRecent = std::prev(recentlyUsed_.end());
    if (*leastRecent == keep) break;
    const auto at = entries_.find(*leastRecent);
    bytes_ -= at->second.bytes;
    entries_.erase(at);
    recentlyUsed_.erase(leastRecent);
  }
}

Cache::Found Cache::find(const Question& question, Micros now) {
  const auto at = entries_.find(question);
  if (at == entries_.end()) return {};
  Entry& entry = touch(question);
  if (entry.hasResult && now < entry.result.until)
    return {&entry.result, now >= entry.refreshAt && now >= entry.backoffUntil, entry.backoffUntil};
  return {nullptr, false, entry.backoffUntil};
}

const Result* Cache::stale(const Question& question, Micros now) const {
  const auto at = entries_.find(question);
  if (at == entries_.end() || !at->second.hasResult) return nullptr;
  return now < at->second.result.until + settings_.staleFor ? &at->second.result : nullptr;
}

const Result& Cache::store(const Question& question, Result result, std::uint32_t ttl, Micros now,
                           double jitter) {
  const Micros maxLifetime = result.kind == Result::Kind::None
                                 ? std::min(settings_.negativeMost, settings_.ttlMost)
                                 : settings_.ttlMost;
  const Micros lifetime = std::clamp(static_cast<Micros>(ttl) * kSecond, settings_.ttlLeast,
                                     std::max(settings_.ttlLeast, maxLifetime));
  Entry& entry = touch(question);
  entry.result = std::move(result);
  entry.result.until = now + lifetime;
  entry.result.stale = false;
  entry.hasResult = true;
  entry.failures = 0;
  entry.backoffUntil = 0;
  entry.refreshAt = now + static_cast<Micros>(static_cast<double>(lifetime) *
                                              (settings_.refreshAt - settings_.spread * jitter));
  updateSize(question, entry);
  return entry.result;
}

void Cache::recordFailure(const Question& question, Micros now) {
  Entry& entry = touch(question);
  entry.backoffUntil = now + std::min(kMaxBackoff, settings_.failureHold << std::min(entry.failures, 10));
  ++entry.failures;
  if (entry.bytes == 0) updateSize(question, entry);
}

void Cache::forget(const Question& question) {
  const auto at = entries_.find(question);
  if (at == entries_.end()) return;
  bytes_ -= at->second.bytes;
  recentlyUsed_.erase(at->second.usePosition);
  entries_.erase(at);
}

Micros Cache::refreshAt(const Question& question) const {
  const auto at = entries_.find(question);
  if (at == entries_.end()) return 0;
  const Entry& entry = at->second;
  return entry.hasResult && entry.backoffUntil < entry.refreshAt ? entry.refreshAt : entry.backoffUntil;
}

}  // namespace peargrade::dns
