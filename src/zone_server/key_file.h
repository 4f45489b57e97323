// Reads TSIG keys from a KDL file that only its owner can access.
//
//     key "ops.example.org" algorithm="hmac-sha256" secret="BASE64" from="2026-12-01"
//     until="2027-03-01T12:00:00Z"
#pragma once

#include <string>
#include <vector>

#include "dns_zone/tsig.h"

namespace peargrade::zone_server {

/// Reads the key file. Adds a line with file, line and column to `problems` for each error; the lines never
/// contain a part of a secret. Returns no keys if there is any error.
dns_zone::Keys readKeys(const std::string& path, std::vector<std::string>& problems);
/// Parses the text of a key file, as readKeys() does.
dns_zone::Keys parseKeys(const std::string& text, const std::string& file,
                         std::vector<std::string>& problems);
/// Parses "2026-12-01" or "2026-12-01T12:00:00Z" (UTC) to Unix seconds. Returns false for any other format.
bool readTime(const std::string& text, std::int64_t& seconds);

}  // namespace peargrade::zone_server
