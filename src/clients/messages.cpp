#include "clients/messages.h"

#include <cmath>

#include "wire/fields.h"

namespace peargrade::clients {
namespace {

int placeIn(const std::vector<std::string>& names, const wire::Fields& f, const char* field) {
  const int place = discovery::indexOf(names, f.text(field));
  if (place < 0) wire::fail(f.where(), std::string("'") + field + "' is not in the settings");
  return place;
}

// Milliseconds with a fraction on the socket, whole microseconds inside.
Micros micros(const wire::Fields& f, const char* field) {
  const double value = f.number(field);
  if (value < 0 || value > 1e9) wire::fail(f.where(), std::string("'") + field + "' is out of range");
  return static_cast<Micros>(std::llround(value * 1000));
}

// Counts over a window, which has a length.
template <class Report>
void counts(const wire::Fields& f, std::int64_t Report::*all, Report& r) {
  r.*all = f.integer("n", 0, wire::kIntMax);
  r.failures = f.integer("bad", 0, wire::kIntMax);
  r.window = micros(f, "window");
  if (r.window <= 0) wire::fail(f.where(), "'window' is 0");
}

}  // namespace

Message parseMessage(const std::string& bytes, const discovery::Names& names, int slices) {
  rapidjson::Document doc;
  wire::parseJson(doc, bytes, "message");
  const wire::Fields any(doc, "message");
  const std::string type = any.text("type");
  const wire::Fields f(doc, type.substr(0, 40));
  if (type == "hb") return Heartbeat{};
  if (type == "telemetry") return Telemetry{placeIn(names.zones, f, "az")};
  if (type == "upstream_stats") {
    ServerLoadReport r;
    r.zone = placeIn(names.zones, f, "az");
    r.server = wire::serverId(f, "host");
    counts(f, &ServerLoadReport::attempts, r);
    if (r.failures > r.attempts) wire::fail(f.where(), "'bad' is more than 'n'");
    // The mean of what succeeded: without it a server would look as quick as none is.
    if (r.attempts > r.failures || f.optional("avg") != nullptr) r.meanLatency = micros(f, "avg");
    if (r.attempts > r.failures && r.meanLatency <= 0) wire::fail(f.where(), "'avg' is 0");
    return r;
  }
  if (type == "range_stats") {
    SliceLoadReport d;
    d.slice = static_cast<TableId>(f.integer("partition", 0, slices - 1));
    d.requestClass = placeIn(names.classes, f, "kind");
    counts(f, &SliceLoadReport::requests,
           d);  // it may count failures of requests that came in an earlier window
    return d;
  }
  wire::fail("message", "unknown type '" + type.substr(0, 40) + "'");
}

}  // namespace peargrade::clients
