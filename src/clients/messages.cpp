#include "clients/messages.h"

#include <cmath>

#include "wire/fields.h"

namespace peargrade::clients {
namespace {

constexpr double kMicrosPerMillisecond = 1000;
constexpr double kDurationMaxMs = 1e9;
constexpr std::size_t kQuotedTypeMax = 40;  // characters of an unknown type that an error quotes

int parseNameIndex(const std::vector<std::string>& names, const wire::Fields& fields, const char* field) {
  const int index = discovery::indexOf(names, fields.text(field));
  if (index < 0) wire::fail(fields.where(), std::string("'") + field + "' is not in the settings");
  return index;
}

// Durations on the wire are in milliseconds and may have a fraction.
Micros parseDuration(const wire::Fields& fields, const char* field) {
  const double milliseconds = fields.number(field);
  if (milliseconds < 0 || milliseconds > kDurationMaxMs)
    wire::fail(fields.where(), std::string("'") + field + "' is out of range: expected 0 to 1e9 ms");
  return static_cast<Micros>(std::llround(milliseconds * kMicrosPerMillisecond));
}

std::int64_t parseCount(const wire::Fields& fields, const char* field) {
  return fields.integer(field, 0, wire::kIntMax);
}

Micros parseReportWindow(const wire::Fields& fields) {
  const Micros window = parseDuration(fields, "window");
  if (window <= 0) wire::fail(fields.where(), "'window' is 0, expected a positive duration");
  return window;
}

ServerLoadReport parseServerLoadReport(const wire::Fields& fields, const discovery::Names& names) {
  ServerLoadReport report;
  report.zone = parseNameIndex(names.zones, fields, "az");
  report.server = wire::serverId(fields, "host");
  report.attempts = parseCount(fields, "n");
  report.failures = parseCount(fields, "bad");
  report.window = parseReportWindow(fields);
  if (report.failures > report.attempts)
    wire::fail(fields.where(), "'bad' (" + std::to_string(report.failures) + ") exceeds 'n' (" +
                                   std::to_string(report.attempts) + ")");
  // The mean latency covers successful attempts only. If there were any, the mean is required: an absent one
  // would be taken for a latency of zero.
  const bool hasSuccesses = report.attempts > report.failures;
  if (hasSuccesses || fields.optional("avg") != nullptr) report.meanLatency = parseDuration(fields, "avg");
  if (hasSuccesses && report.meanLatency <= 0)
    wire::fail(fields.where(), "'avg' is 0, expected a positive duration");
  return report;
}

// `bad` may exceed `n`: a failure is counted in the window in which it occurs, while its request may have
// been counted in an earlier window.
SliceLoadReport parseSliceLoadReport(const wire::Fields& fields, const discovery::Names& names, int slices) {
  SliceLoadReport report;
  report.slice = static_cast<TableId>(fields.integer("partition", 0, slices - 1));
  report.requestClass = parseNameIndex(names.classes, fields, "kind");
  report.requests = parseCount(fields, "n");
  report.failures = parseCount(fields, "bad");
  report.window = parseReportWindow(fields);
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
  if (type == "telemetry") return CollectorJoin{parseNameIndex(names.zones, fields, "az")};
  if (type == "upstream_stats") return parseServerLoadReport(fields, names);
  if (type == "range_stats") return parseSliceLoadReport(fields, names, slices);
  wire::fail("message", "unknown type '" + quotedType + "'");
}

}  // namespace peargrade::clients
