/// A valid configuration, and helpers that change and parse it.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "config/config.h"

namespace peargrade::config {

inline const std::string kValidConfig =
    R"({"name":"n3","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",)"
    R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"relay":{"address":"127.2.0.2:6400"},)"
    R"("known":{"rev":41,"all":true,"targets":[{"uid":"s1","az":"b","state":"SERVING","boot_ms":0}]},)"
    R"("settings":{"classes":[{"name":"lookup","aimUs":800000,"effect":"repeatable"}],"zones":["a","b"],)"
    R"("kinds":["m1"],"groupSize":2,"extra":{"shards":12}}})";

/// An environment with only these variables.
inline Environment environmentWith(std::map<std::string, std::string> variables) {
  return [variables = std::move(variables)](const char* name) -> std::optional<std::string> {
    const auto found = variables.find(name);
    if (found == variables.end()) return std::nullopt;
    return found->second;
  };
}

inline Config parseWith(const std::string& text, std::map<std::string, std::string> variables = {}) {
  return parse(text, environmentWith(std::move(variables)));
}

/// The valid configuration with the first `part` replaced by `replacement`.
inline std::string replaced(const std::string& part, const std::string& replacement) {
  std::string text = kValidConfig;
  const auto at = text.find(part);
  EXPECT_NE(at, std::string::npos) << part;
  return text.replace(at, part.size(), replacement);
}

/// The valid configuration with a `version`, as JSON.
inline std::string withVersion(const std::string& version) {
  return replaced("{\"name\"", "{\"version\":" + version + ",\"name\"");
}

}  // namespace peargrade::config
