// Reads the keys of signatures: a KDL file that only its owner can read.
//
//     key "ops.example.org" algorithm="hmac-sha256" secret="BASE64" from="2026-12-01"
//     until="2027-03-01T12:00:00Z"
#pragma once

#include <string>
#include <vector>

#include "dns_zone/tsig.h"

namespace peargrade::zone_server {

// `problems`: a line for each thing that is wrong, with file, line and column; no secret is ever a part of
// one. With any, no key is taken.
dns_zone::Keys readKeys(const std::string& path, std::vector<std::string>& problems);
// The same from a text, for tests.
dns_zone::Keys parseKeys(const std::string& text, const std::string& file,
                         std::vector<std::string>& problems);
// "2026-12-01" or "2026-12-01T12:00:00Z" in Unix seconds; false for anything else.
bool readTime(const std::string& text, std::int64_t& seconds);

}  // namespace peargrade::zone_server
