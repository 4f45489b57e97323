// Discovery's JSON: the list of servers and its changes. Only the fields that the decisions need are taken
// out.
#pragma once

#include <string>
#include <vector>

#include "peargrade/decision_engine.h"
#include "wire/fields.h"

namespace peargrade::discovery {

// The names that the protocol uses where the module counts from 0, in the order of the settings.
struct Names {
  std::vector<std::string> zones, kinds, classes;
};

// The place of a name, or -1.
int indexOf(const std::vector<std::string>& names, const std::string& name);

// One object {"rev":..,"all":..,"targets":[..]}. Throws ParseError.
EndpointListUpdate parseCatalog(const wire::Value& value, const Names& names, const std::string& where);
// The address and port that each entry names, in the order of the entries; "" where it names none.
std::vector<std::string> parseEndpoints(const wire::Value& value, const std::string& where);
// The same from bytes.
EndpointListUpdate parseCatalog(const std::string& bytes, const Names& names, const std::string& where);

}  // namespace peargrade::discovery
