#include "clients/messages.h"

#include <cmath>

#include "wire/fields.h"

namespace peargrade::clients {
namespace {

constexpr double kMicrosPerMillisecond = 1000;
constexpr double kDurationMaxMs = 1e9;
constexpr std::size_t kQuotedTypeMax = 40;  // characters of an unknown type that an error quotes

int indexIn(const std::vector<std::string>& names, const wire::Fields& fields, const char* field) {
  const int index = discovery::indexOf(names, fields.text(field));
  if (index < 0) wire::fail(fields.where(), std::string("'") + field + "' is not in the settings");
  return index;
}

// The wire has milliseconds with a fraction.
Micros duration(const wire::Fields& fields, const char* field) {
  const double milliseconds = fields.number(field);
  if (milliseconds < 0 || milliseconds > kDurationMaxMs)
    wire::fail(fields.where(), std::string("'") + field + "' is out of range");
  return static_cast<Micros>(std::llround(milliseconds * kMicrosPerMillisecond));
}

std::int64_t count(const wire::Fields& fields, const char* field) {
  return fields.integer(field, 0, wire::kIntMax);
}

Micros reportWindow(const wire::Fields& fields) {
  const Micros window = duration(fields, "window");
  if (window <= 0) wire::fail(fields.where(), "'window' is 0");
  return window;
}

ServerLoadReport parseServerLoadReport(const wire::Fields& fields, const discovery::Names& names) {
  ServerLoadReport report;
  report.zone = indexIn(names.zones, fields, "az");
  report.server = wire::serverId(fields, "host");
  report.attempts = count(fields, "n");
  report.failures = count(fields, "bad");
  report.window = reportWindow(fields);
  if (report.failures > report.attempts) wire::fail(fields.where(), "'bad' is more than 'n'");
  // The mean covers successful attempts only. A missing mean would read as zero latency.
  const bool hasSuccesses = report.attempts > report.failures;
  if (hasSuccesses || fields.optional("avg") != nullptr) report.meanLatency = duration(fields, "avg");
  if (hasSuccesses && report.meanLatency <= 0) wire::fail(fields.where(), "'avg' is 0");
  return report;
}

// Failures may exceed requests: they count requests that arrived in an earlier window too.
SliceLoadReport parseSliceLoadReport(const wire::Fields& fields, const discovery::Names& names, int slices) {
  SliceLoadReport report;
  report.slice = static_cast<TableId>(fields.integer("partition", 0, slices - 1));
  report.requestClass = indexIn(names.classes, fields, "kind");
  report.requests = count(fields, "n");
  report.failures = count(fields, "bad");
  report.window = reportWindow(fields);
  return report;
}

}  // namespace

Message parseMessage(const std::string& bytes, const discovery::Names& names, int slices) {
  rapidjson::Document document;
  wire::parseJson(document, bytes, "message");
  const std::string type = wire::Fields(document, "message").text("type");
  const std::string quotedType = type.substr(0, kQuotedTypeMax);
  const wire::Fields fields(document, quotedType);
  if (type == "hb") return Heartbeat{};
  if (type == "telemetry") return CollectorJoin{indexIn(names.zones, fields, "az")};
  if (type == "upstream_stats") return parseServerLoadReport(fields, names);
  if (type == "range_stats") return parseSliceLoadReport(fields, names, slices);
  wire::fail("message", "unknown type '" + quotedType + "'");
}

}  // namespace peargrade::clients
