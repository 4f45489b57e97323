#include "clients/messages.h"

#include <cmath>

#include "wire/fields.h"

namespace peargrade::clients {
namespace {

int placeIn(const std::vector<std::string>& names, const wire::Fields& f, const char* field) {
  const int place = discovery::placeOf(names, f.text(field));
  if (place < 0) wire::bad(f.where(), std::string("'") + field + "' is not in the settings");
  return place;
}

// Milliseconds with a fraction on the socket, whole microseconds inside.
Micros micros(const wire::Fields& f, const char* field, double value) {
  if (value < 0 || value > 1e12) wire::bad(f.where(), std::string("'") + field + "' is out of range");
  return static_cast<Micros>(std::llround(value * 1000));
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
    ServerReport r;
    r.zone = placeIn(names.zones, f, "az");
    r.server = wire::serverId(f, "host");
    r.tries = f.integer("n", 0, wire::kIntMax);
    r.failed = f.integerOr("bad", 0, wire::kIntMax, 0);
    r.latency = micros(f, "avg", f.numberOr("avg", 0));
    r.window = micros(f, "window", f.number("window"));
    return r;
  }
  if (type == "range_stats") {
    SliceDemand d;
    d.slice = static_cast<TableId>(f.integer("partition", 0, slices - 1));
    d.cls = placeIn(names.classes, f, "kind");
    d.requests = f.integer("n", 0, wire::kIntMax);
    d.failed = f.integerOr("bad", 0, wire::kIntMax, 0);
    d.window = micros(f, "window", f.number("window"));
    return d;
  }
  wire::bad("message", "unknown type '" + type.substr(0, 40) + "'");
}

}  // namespace peargrade::clients
