// The script of `peargrade zone update`: a line each, names whole or relative to the zone.
//
//     need NAME [TYPE [DATA]]      the name, the set, or the record (with all of its set) has to be there
//     need-not NAME [TYPE]         must not
//     add NAME TTL TYPE DATA
//     delete NAME [TYPE [DATA]]    the name, the set or the record
//     # and what follows is left out
#pragma once

#include <string>
#include <vector>

#include "dns_zone/message.h"

namespace peargrade::zone_server {

// The update without an id. `problems`: a line for each mistake, with file, line and column.
dns_zone::Message readUpdateScript(const std::string& text, const std::string& file,
                                   const std::string& origin, std::vector<std::string>& problems);

}  // namespace peargrade::zone_server
