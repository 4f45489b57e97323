#include "discovery/catalog.h"

#include <algorithm>

namespace peargrade::discovery {
namespace {

constexpr std::int64_t kMillisMax = INT64_MAX / 1000;

Endpoint parseTarget(const wire::Fields& f, const Names& names) {
  Endpoint e;
  e.server = wire::serverId(f, "uid");
  e.weight = f.numberOr("capacity_hint", 1);
  e.startedAt = f.integerOr("boot_ms", 0, kMillisMax, 0) * 1000;
  e.cell = static_cast<int>(f.integerOr("pod_group", 0, wire::kIntMax, 0));
  e.state = wire::oneOf<EndpointState>(f, "state",
                                       {{"SERVING", EndpointState::Ready},
                                        {"DRAINING", EndpointState::Draining},
                                        {"DELETED", EndpointState::Removed}});
  e.zone = indexOf(names.zones, f.text("az"));
  if (e.zone < 0) wire::fail(f.where(), "'az' is no zone of the settings");
  // A kind that the settings do not name is none that a decision could rest on.
  e.kind = std::max(0, indexOf(names.kinds, f.textOr("model", "")));
  return e;
}

}  // namespace

int indexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

EndpointListUpdate parseCatalog(const wire::Value& value, const Names& names, const std::string& where) {
  const wire::Fields f(value, where);
  EndpointListUpdate news;
  news.version = f.integer("rev", 0, wire::kMicrosMax);
  news.kind = f.boolean("all") ? EndpointListKind::Full : EndpointListKind::Delta;
  const std::string place = where + ": targets";
  for (const wire::Value& target : f.array("targets").GetArray()) {
    news.endpoints.push_back(parseTarget(wire::Fields(target, place), names));
  }
  return news;
}

std::vector<std::string> parseEndpoints(const wire::Value& value, const std::string& where) {
  std::vector<std::string> endpoints;
  for (const wire::Value& target : wire::Fields(value, where).array("targets").GetArray())
    endpoints.push_back(wire::Fields(target, where).textOr("endpoint", ""));
  return endpoints;
}

EndpointListUpdate parseCatalog(const std::string& bytes, const Names& names, const std::string& where) {
  rapidjson::Document doc;
  wire::parseJson(doc, bytes, where);
  return parseCatalog(doc, names, where);
}

}  // namespace peargrade::discovery
