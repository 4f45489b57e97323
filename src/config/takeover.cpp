#include "config/takeover.h"

#include <iomanip>
#include <limits>
#include <sstream>
#include <vector>

namespace peargrade::config {
namespace {

constexpr double kNoMost = std::numeric_limits<double>::infinity();
constexpr double kAboveZero = std::numeric_limits<double>::min();  // divisors: 0 itself is refused
constexpr int kContentDigits = 16;

struct Range {
  const char* field;
  double value, least, most;
};

class Lines {
 public:
  void add(const std::string& line) { text_ += (text_.empty() ? "" : "\n") + line; }
  std::optional<Objection> as(Refusal refusal) const {
    if (text_.empty()) return std::nullopt;
    return Objection{refusal, text_};
  }

 private:
  std::string text_;
};

std::string rangeOf(const Range& r) {
  std::ostringstream text;
  text << r.field << ": " << r.value << " is not ";
  if (r.most < kNoMost)
    text << "from " << r.least << " to " << r.most;
  else
    text << (r.least > 0 ? "above 0" : "0 or more");
  return text.str();
}

void checkClasses(const Config& config, Lines& lines) {
  for (std::size_t k = 0; k < config.settings.classes.size(); ++k) {
    const RequestClass& c = config.settings.classes[k];
    const std::string of = "' of " + config.names.classes.at(k);
    if (c.priorityWeight < 0) lines.add("settings.classes: 'worth" + of + " is below 0");
    if (c.deadline > 0 && c.deadline < c.latencyObjective)
      lines.add("settings.classes: 'hardLimitUs" + of + " is below its 'aimUs'");
  }
}

std::optional<Objection> checkRanges(const Config& config) {
  const Settings& s = config.settings;
  Lines lines;
  checkClasses(config, lines);
  for (const Range& r : {Range{"settings.extra.egressPerS", s.routesPerSecond, kAboveZero, kNoMost},
                         Range{"settings.extra.pendingMax", s.pendingRoutesMax, kAboveZero, kNoMost},
                         Range{"settings.extra.perMessage", s.messageOverheadRoutes, 0, kNoMost},
                         Range{"settings.extra.tryAims", s.attemptTimeoutObjectives, 0, kNoMost},
                         Range{"settings.rules.startCapacity", s.initialCapacity, 0, 1},
                         Range{"settings.rules.overloadFactor", s.overloadFactor, kAboveZero, kNoMost}})
    if (r.value < r.least || r.value > r.most) lines.add(rangeOf(r));
  return lines.as(Refusal::OutOfRange);
}

// What slices, tables and connections are built on.
std::optional<Objection> checkStructure(const Config& inForce, const Config& next) {
  const Settings &a = inForce.settings, &b = next.settings;
  Lines lines;
  const auto stays = [&](const char* field, bool same) {
    if (!same) lines.add(std::string(field) + ": stays as it was at the start, a change needs a restart");
  };
  stays("settings.classes", inForce.names.classes == next.names.classes);
  stays("settings.zones", inForce.names.zones == next.names.zones);
  stays("settings.kinds", inForce.names.kinds == next.names.kinds);
  stays("settings.extra.shards", a.slices == b.slices);
  stays("settings.extra.proxyCount", a.proxies == b.proxies);
  stays("settings.extra.oneOwner", a.sliceOwnership == b.sliceOwnership);
  stays("settings.extra.throttleBy", a.admissionUnit == b.admissionUnit);
  return lines.as(Refusal::Structure);
}

std::optional<Objection> checkVersion(const Config& inForce, const Config& next) {
  if (!inForce.version) return std::nullopt;
  const std::string held = std::to_string(*inForce.version);
  if (!next.version)
    return Objection{Refusal::WrongVersion, "version: is missing, and " + held + " is in force"};
  const std::string told = "version: " + std::to_string(*next.version);
  if (*next.version < *inForce.version)
    return Objection{Refusal::StaleVersion, told + " is older than " + held + ", which is in force"};
  if (*next.version == *inForce.version && next.content != inForce.content)
    return Objection{Refusal::SameVersion, told + " is in force with other content"};
  return std::nullopt;
}

}  // namespace

const char* code(Refusal refusal) {
  switch (refusal) {
    case Refusal::Unreadable:
      return "unreadable";
    case Refusal::OutOfRange:
      return "out-of-range";
    case Refusal::WrongVersion:
      return "wrong-version";
    case Refusal::StaleVersion:
      return "stale-version";
    case Refusal::SameVersion:
      return "same-version";
    case Refusal::Structure:
      return "structure";
  }
  return "unknown";
}

std::optional<Objection> unsound(const Config& config) {
  if (config.versionWrong) return Objection{Refusal::WrongVersion, "version: is no whole number from 0 on"};
  return checkRanges(config);
}

std::optional<Objection> objection(const Config& inForce, const Config& next) {
  if (auto found = unsound(next)) return found;
  if (auto found = checkVersion(inForce, next)) return found;
  return checkStructure(inForce, next);
}

std::string versionOf(const Config& config) {
  std::ostringstream text;
  text << (config.version ? "version " + std::to_string(*config.version) : "no version") << " (content "
       << std::hex << std::setw(kContentDigits) << std::setfill('0') << config.content << ')';
  return text.str();
}

}  // namespace peargrade::config
