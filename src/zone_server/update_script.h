// Parses the script of `peargrade zone update`. It has one statement a line; names are absolute (with a final
// dot) or relative to the origin. `need` and `need-not` are the prerequisites of RFC 2136.
//
//     need NAME [TYPE [DATA]]      the name, the RRset, or the RRset with exactly the records given, exists
//     need-not NAME [TYPE]         the name or the RRset does not exist
//     add NAME TTL TYPE DATA
//     delete NAME [TYPE [DATA]]    the name, the RRset or the record
//     # begins a comment
#pragma once

#include <string>
#include <vector>

#include "dns_zone/message.h"

namespace peargrade::zone_server {

/// Returns the update, with id 0. Adds a line with file, line and column to `problems` for each error.
dns_zone::Message readUpdateScript(const std::string& text, const std::string& file,
                                   const std::string& origin, std::vector<std::string>& problems);

}  // namespace peargrade::zone_server
