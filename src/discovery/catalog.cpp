#include "discovery/catalog.h"

#include <algorithm>

namespace peargrade::discovery {
namespace {

constexpr std::int64_t kMicrosPerMillisecond = 1000;
constexpr std::int64_t kMillisecondsMax = INT64_MAX / kMicrosPerMillisecond;  // fits in Micros

Endpoint parseTarget(const wire::Fields& fields, const Names& names) {
  Endpoint endpoint;
  endpoint.server = wire::serverId(fields, "uid");
  endpoint.weight = fields.numberOr("capacity_hint", 1);
  endpoint.startedAt = fields.integerOr("boot_ms", 0, kMillisecondsMax, 0) * kMicrosPerMillisecond;
  endpoint.cell = static_cast<int>(fields.integerOr("pod_group", 0, wire::kIntMax, 0));
  endpoint.state = wire::oneOf<EndpointState>(fields, "state",
                                              {{"SERVING", EndpointState::Ready},
                                               {"DRAINING", EndpointState::Draining},
                                               {"DELETED", EndpointState::Removed}});
  endpoint.zone = indexOf(names.zones, fields.text("az"));
  if (endpoint.zone < 0) wire::fail(fields.where(), "'az' is no zone of the settings");
  // An unknown kind is treated as the first configured one: no decision needs the exact kind.
  endpoint.kind = std::max(0, indexOf(names.kinds, fields.textOr("model", "")));
  return endpoint;
}

}  // namespace

int indexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

EndpointListUpdate parseCatalog(const wire::Value& value, const Names& names, const std::string& where) {
  const wire::Fields fields(value, where);
  EndpointListUpdate update;
  update.version = fields.integer("rev", 0, wire::kMicrosMax);
  update.kind = fields.boolean("all") ? EndpointListKind::Full : EndpointListKind::Delta;
  const std::string targetsWhere = where + ": targets";
  for (const wire::Value& target : fields.array("targets").GetArray()) {
    update.endpoints.push_back(parseTarget(wire::Fields(target, targetsWhere), names));
  }
  return update;
}

EndpointListUpdate parseCatalog(const std::string& bytes, const Names& names, const std::string& where) {
  rapidjson::Document document;
  wire::parseJson(document, bytes, where);
  return parseCatalog(document, names, where);
}

std::vector<std::string> parseSocketAddresses(const wire::Value& value, const std::string& where) {
  std::vector<std::string> addresses;
  for (const wire::Value& target : wire::Fields(value, where).array("targets").GetArray()) {
    addresses.push_back(wire::Fields(target, where).textOr("endpoint", ""));
  }
  return addresses;
}

}  // namespace peargrade::discovery
