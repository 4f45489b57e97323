/// Parser of the JSON that the discovery service sends: the full endpoint list and its deltas. Fields that no
/// decision needs are ignored.
#pragma once

#include <string>
#include <vector>

#include "peargrade/decision_engine.h"
#include "wire/fields.h"

namespace peargrade::discovery {

/// Names of zones, server kinds and request classes, in the order of the configuration's `settings`. The
/// protocols use the names; the decision module uses their zero-based indices.
struct Names {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> classes;
};

/// Zero-based index of `name` in `names`; -1 if `names` does not contain it.
int indexOf(const std::vector<std::string>& names, const std::string& name);

/// Parses one object {"rev":..,"all":..,"targets":[..]}. `where` names the input in error messages.
/// Throws ParseError if a field is missing or invalid, or if a target's zone is not in `names`.
EndpointListUpdate parseCatalog(const wire::Value& value, const Names& names, const std::string& where);

/// Same as above for serialized JSON. Also throws ParseError if `bytes` is not valid JSON.
EndpointListUpdate parseCatalog(const std::string& bytes, const Names& names, const std::string& where);

/// Socket address ("10.1.0.18:3000") of each target, in the order of `targets`; "" for a target without one.
/// Throws ParseError if a field is missing or invalid.
std::vector<std::string> parseSocketAddresses(const wire::Value& value, const std::string& where);

}  // namespace peargrade::discovery
