#include "wire/settings_parser.h"

namespace peargrade::wire {
namespace {

constexpr std::int64_t kRetryPolicyMax = 3;

DeduplicationScope parseDeduplicationScope(const Fields& fields) {
  const std::string scope = fields.textOr("dedupScope", "all");
  if (scope == "cell") return DeduplicationScope::Cell;
  if (scope == "zone") return DeduplicationScope::Zone;
  return DeduplicationScope::All;
}

RequestClass parseClass(const Fields& fields) {
  RequestClass requestClass;
  requestClass.latencyObjective = fields.integer("aimUs", 1, kMicrosMax);
  requestClass.deadline = fields.integerOr("hardLimitUs", 0, kMicrosMax, 0);
  requestClass.priorityWeight = fields.numberOr("worth", 1);
  requestClass.idempotency = oneOf<Idempotency>(fields, "effect",
                                                {{"repeatable", Idempotency::Idempotent},
                                                 {"by_key", Idempotency::WithIdempotencyKey},
                                                 {"once", Idempotency::NonIdempotent}});
  requestClass.deduplicationScope = parseDeduplicationScope(fields);
  requestClass.idempotencyKeyTtl = fields.integerOr("keyTtlUs", 0, kMicrosMax, 0);
  return requestClass;
}

AdmissionUnit parseAdmissionUnit(const Fields& fields) {
  const std::string unit = fields.textOr("throttleBy", "fraction");
  if (unit == "fraction") return AdmissionUnit::Ratio;
  if (unit == "per_second") return AdmissionUnit::RequestsPerSecond;
  return AdmissionUnit::Unsupported;
}

// Request classes without an entry in the list, or whose entry is not a boolean, count as reads.
void parseWriteClasses(const Fields& fields, Settings& settings) {
  if (fields.optional("mutating") == nullptr) return;
  const Value& flags = fields.array("mutating");
  for (rapidjson::SizeType index = 0; index < flags.Size() && index < settings.classes.size(); ++index)
    settings.classes[index].isWrite = flags[index].IsBool() && flags[index].GetBool();
}

void parseExtra(const Fields& fields, Settings& settings) {
  settings.slices = static_cast<int>(fields.integerOr("shards", 0, kTableMax - 1, 0));
  settings.proxies = static_cast<int>(fields.integerOr("proxyCount", 0, kProxyMax + 1, 0));
  settings.sliceOwnership = fields.boolean("oneOwner") ? SliceOwnership::SingleOwner : SliceOwnership::Shared;
  settings.admissionUnit = parseAdmissionUnit(fields);
  settings.defaultRetryPolicy = static_cast<RetryPolicy>(fields.integerOr("usualHow", 0, kRetryPolicyMax, 0));
  settings.attemptTimeoutObjectives = fields.numberOr("tryAims", settings.attemptTimeoutObjectives);
  settings.routesPerSecond = fields.numberOr("egressPerS", settings.routesPerSecond);
  settings.messageOverheadRoutes = fields.numberOr("perMessage", settings.messageOverheadRoutes);
  settings.pendingRoutesMax = fields.numberOr("pendingMax", settings.pendingRoutesMax);
  settings.messagesPerProxyMax = static_cast<int>(fields.integerOr("updateCap", 0, kIntMax, 0));
  settings.messageWindow = fields.integerOr("updateWindowUs", 0, kMicrosMax, 0);
  settings.pushDelay = fields.integerOr("pushDelayUs", 0, kMicrosMax, 0);
  settings.pushDelayMax = fields.integerOr("pushDelayMaxUs", 0, kMicrosMax, 0);
  settings.reportInterval = fields.integerOr("reportEveryUs", 1, kMicrosMax, settings.reportInterval);
  settings.lease = fields.integerOr("leaseUs", 0, kMicrosMax, 0);
  settings.inFlightWriteMax = fields.integerOr("inFlightMaxUs", 0, kMicrosMax, 0);
  settings.unroutableMax = fields.integerOr("blackholeUs", 0, kMicrosMax, 0);
  parseWriteClasses(fields, settings);
}

void parseLimits(const Fields& fields, Settings& settings) {
  settings.healthChecksAllowed = fields.boolean("probes");
  settings.gossipAllowed = fields.boolean("peerMessages");
}

void parseRules(const Fields& fields, Settings& settings) {
  settings.drainGrace = fields.integerOr("drainGraceUs", 0, kMicrosMax, 0);
  settings.removalIsAdvisory = fields.boolean("goneIsAdvice");
  settings.pollDeadline = fields.integerOr("askWithinUs", 0, kMicrosMax, 0);
  settings.initialCapacity = fields.numberOr("startCapacity", 1);
  settings.slowStartWindow = fields.integerOr("warmAfterUs", 0, kMicrosMax, 0);
  settings.overloadFactor = fields.numberOr("overloadFactor", 1);
  settings.overloadDurationMax = fields.integerOr("fallUs", 0, kMicrosMax, 0);
}

}  // namespace

Settings parseSettings(const Value& value, const std::string& where) {
  const Fields fields(value, where);
  Settings settings;
  const Value& classes = fields.array("classes");
  if (classes.Empty()) fail(where, "'classes' is empty");
  for (const Value& requestClass : classes.GetArray())
    settings.classes.push_back(parseClass(Fields(requestClass, where + ": classes")));
  settings.supervisors = static_cast<int>(fields.integerOr("groupSize", 1, kIntMax, 1));
  settings.endpointsOnRequest = fields.textOr("registryMode", "pushed") == "on_request";
  settings.endpointsHaveWeights = fields.textOr("weights", "silent") != "silent";
  if (const Value* limits = fields.optional("limits"))
    parseLimits(Fields(*limits, where + ": limits"), settings);
  if (const Value* rules = fields.optional("rules")) parseRules(Fields(*rules, where + ": rules"), settings);
  if (const Value* extra = fields.optional("extra")) parseExtra(Fields(*extra, where + ": extra"), settings);
  return settings;
}

}  // namespace peargrade::wire
