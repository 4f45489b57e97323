/// Codec of discovery's JSON: the endpoint list and its changes. Reads only the fields that decisions need.
#pragma once

#include <string>
#include <vector>

#include "peargrade/decision_engine.h"
#include "wire/fields.h"

namespace peargrade::discovery {

/// The names that the protocols use where the decision module has an index from 0, in the order of the
/// configuration's `settings`.
struct Names {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> classes;
};

/// Index of `name` in `names`; -1 if it is not there.
int indexOf(const std::vector<std::string>& names, const std::string& name);

/// Reads one object {"rev":..,"all":..,"targets":[..]}. `where` is the place that errors name.
/// Throws ParseError if a field is missing or invalid, or if a zone is not one of the settings.
EndpointListUpdate parseCatalog(const wire::Value& value, const Names& names, const std::string& where);

/// The same from bytes. Throws ParseError also if they are not JSON.
EndpointListUpdate parseCatalog(const std::string& bytes, const Names& names, const std::string& where);

/// The socket address ("10.1.0.18:3000") of each target, in the order of the targets; "" where it has none.
/// Throws ParseError.
std::vector<std::string> parseSocketAddresses(const wire::Value& value, const std::string& where);

}  // namespace peargrade::discovery
