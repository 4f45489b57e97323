#include "config/reload_check.h"

#include <iomanip>
#include <limits>
#include <sstream>

namespace peargrade::config {
namespace {

constexpr double kUnbounded = std::numeric_limits<double>::infinity();
// Lower bound of divisors, which rejects 0.
constexpr double kAboveZero = std::numeric_limits<double>::min();
constexpr int kHashDigits = 16;

/// A setting with its inclusive range.
struct Range {
  const char* field;
  double value;
  double min;
  double max;
};

/// Collects the messages of one rejection, a line for each.
class MessageList {
 public:
  void add(const std::string& message) {
    if (!text_.empty()) text_ += '\n';
    text_ += message;
  }
  /// A rejection with all messages; nothing if there are none.
  std::optional<Rejection> toRejection(RejectionCode code) const {
    if (text_.empty()) return std::nullopt;
    return Rejection{code, text_};
  }

 private:
  std::string text_;
};

std::string outOfRangeMessage(const Range& range) {
  std::ostringstream text;
  text << range.field << ": " << range.value << " is not ";
  if (range.max < kUnbounded)
    text << "from " << range.min << " to " << range.max;
  else
    text << (range.min > 0 ? "above 0" : "0 or more");
  return text.str();
}

void checkClasses(const Config& config, MessageList& messages) {
  for (std::size_t k = 0; k < config.settings.classes.size(); ++k) {
    const RequestClass& requestClass = config.settings.classes[k];
    const std::string ofClass = "' of " + config.names.classes.at(k);
    if (requestClass.priorityWeight < 0) messages.add("settings.classes: 'worth" + ofClass + " is below 0");
    if (requestClass.deadline > 0 && requestClass.deadline < requestClass.latencyObjective)
      messages.add("settings.classes: 'hardLimitUs" + ofClass + " is below its 'aimUs'");
  }
}

std::optional<Rejection> checkRanges(const Config& config) {
  const Settings& settings = config.settings;
  const Range ranges[] = {
      {"settings.extra.egressPerS", settings.routesPerSecond, kAboveZero, kUnbounded},
      {"settings.extra.pendingMax", settings.pendingRoutesMax, kAboveZero, kUnbounded},
      {"settings.extra.perMessage", settings.messageOverheadRoutes, 0, kUnbounded},
      {"settings.extra.tryAims", settings.attemptTimeoutObjectives, 0, kUnbounded},
      {"settings.rules.startCapacity", settings.initialCapacity, 0, 1},
      {"settings.rules.overloadFactor", settings.overloadFactor, kAboveZero, kUnbounded},
  };
  MessageList messages;
  checkClasses(config, messages);
  for (const Range& range : ranges) {
    if (range.value < range.min || range.value > range.max) messages.add(outOfRangeMessage(range));
  }
  return messages.toRejection(RejectionCode::OutOfRange);
}

// Slices, routing tables and connections are built from these fields when the program starts.
std::optional<Rejection> checkStructure(const Config& inForce, const Config& next) {
  const Settings& current = inForce.settings;
  const Settings& proposed = next.settings;
  MessageList messages;
  const auto requireSame = [&messages](const char* field, bool same) {
    if (!same) messages.add(std::string(field) + ": stays unchanged until a restart");
  };
  requireSame("settings.classes", inForce.names.classes == next.names.classes);
  requireSame("settings.zones", inForce.names.zones == next.names.zones);
  requireSame("settings.kinds", inForce.names.kinds == next.names.kinds);
  requireSame("settings.extra.shards", current.slices == proposed.slices);
  requireSame("settings.extra.proxyCount", current.proxies == proposed.proxies);
  requireSame("settings.extra.oneOwner", current.sliceOwnership == proposed.sliceOwnership);
  requireSame("settings.extra.throttleBy", current.admissionUnit == proposed.admissionUnit);
  return messages.toRejection(RejectionCode::Structure);
}

std::optional<Rejection> checkVersion(const Config& inForce, const Config& next) {
  if (!inForce.version) return std::nullopt;
  const std::string current = std::to_string(*inForce.version);
  if (!next.version)
    return Rejection{RejectionCode::WrongVersion, "version: is missing, and " + current + " is in force"};
  const std::string proposed = "version: " + std::to_string(*next.version);
  if (*next.version < *inForce.version)
    return Rejection{RejectionCode::StaleVersion,
                     proposed + " is older than " + current + ", which is in force"};
  if (*next.version == *inForce.version && next.contentHash != inForce.contentHash)
    return Rejection{RejectionCode::SameVersion, proposed + " is in force with other content"};
  return std::nullopt;
}

}  // namespace

const char* codeOf(RejectionCode code) {
  switch (code) {
    case RejectionCode::Unreadable:
      return "unreadable";
    case RejectionCode::OutOfRange:
      return "out-of-range";
    case RejectionCode::WrongVersion:
      return "wrong-version";
    case RejectionCode::StaleVersion:
      return "stale-version";
    case RejectionCode::SameVersion:
      return "same-version";
    case RejectionCode::Structure:
      return "structure";
  }
  return "unknown";
}

std::optional<Rejection> validate(const Config& config) {
  if (config.versionIsInvalid)
    return Rejection{RejectionCode::WrongVersion, "version: is no whole number from 0 on"};
  return checkRanges(config);
}

std::optional<Rejection> checkReload(const Config& inForce, const Config& next) {
  if (auto rejection = validate(next)) return rejection;
  if (auto rejection = checkVersion(inForce, next)) return rejection;
  return checkStructure(inForce, next);
}

std::string describeVersion(const Config& config) {
  std::ostringstream text;
  text << (config.version ? "version " + std::to_string(*config.version) : "no version") << " (content "
       << std::hex << std::setw(kHashDigits) << std::setfill('0') << config.contentHash << ')';
  return text.str();
}

}  // namespace peargrade::config
