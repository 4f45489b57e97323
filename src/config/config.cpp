#include "config/config.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <xxhash.h>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include "wire/fields.h"
#include "wire/settings_parser.h"

namespace peargrade::config {
namespace {

using wire::Fields;

[[noreturn]] void wrong(const std::string& field, const std::string& what) {
  throw ParseError(ParseErrorCode::InvalidConfiguration, field, what);
}

net::Address addressOf(const std::string& text, const std::string& field) {
  const auto address = net::Address::parse(text);
  if (!address) wrong(field, "'" + text + "' is no address of the form 127.0.0.1:3000");
  return *address;
}

// The variable if it is set, else the field.
std::string told(const Fields& f, const char* field, const char* variable, const Environment& environment) {
  if (const auto value = environment(variable); value && !value->empty()) return *value;
  if (f.optional(field) == nullptr) wrong(field, std::string("is missing, and ") + variable + " is not set");
  return f.text(field);
}

std::uint64_t seedOf(const std::string& hex) {
  std::uint64_t seed = 0;
  const auto end = std::from_chars(hex.data(), hex.data() + hex.size(), seed, 16);
  if (end.ec != std::errc() || end.ptr != hex.data() + hex.size())
    wrong("seed", "is no number of up to 16 hex digits");
  return seed;
}

std::vector<std::string> namesOf(const wire::Value& list, const std::string& field) {
  if (!list.IsArray()) wrong(field, "is not an array");
  std::vector<std::string> names;
  std::set<std::string> seen;
  for (const wire::Value& item : list.GetArray()) {
    if (!item.IsString()) wrong(field, "holds something other than names");
    names.emplace_back(item.GetString(), item.GetStringLength());
    // They stand in lines of the relay, where these characters part the words.
    if (names.back().empty() || names.back().find_first_of(" ,;+*\r\n") != std::string::npos)
      wrong(field, "'" + names.back() + "' cannot stand in a line of the relay");
    if (!seen.insert(names.back()).second) wrong(field, "'" + names.back() + "' is there twice");
  }
  return names;
}

discovery::Names parseNames(const Fields& settings) {
  discovery::Names names;
  names.zones = namesOf(settings.array("zones"), "settings.zones");
  if (names.zones.empty()) wrong("settings.zones", "is empty");
  if (const wire::Value* kinds = settings.optional("kinds")) names.kinds = namesOf(*kinds, "settings.kinds");
  rapidjson::Document classes(rapidjson::kArrayType);
  for (const wire::Value& c : settings.array("classes").GetArray()) {
    const std::string name = Fields(c, "settings.classes").text("name");
    classes.PushBack(wire::Value(name.c_str(), classes.GetAllocator()).Move(), classes.GetAllocator());
  }
  names.classes = namesOf(classes, "settings.classes");
  if (names.classes.size() > 32) wrong("settings.classes", "holds more than 32 classes");
  return names;
}

// Whether it is of use is asked only where settings are taken over: elsewhere the field means nothing.
void readVersion(const Fields& f, Config& c) {
  const wire::Value* version = f.optional("version");
  if (version == nullptr) return;
  c.versionWrong = !version->IsInt64() || version->GetInt64() < 0;
  if (!c.versionWrong) c.version = version->GetInt64();
}

std::uint64_t contentOf(const Fields& f, const Config& c) {
  const wire::Value* discovery = f.optional("discovery");
  const std::string told = discovery != nullptr && discovery->IsString() ? discovery->GetString() : "";
  const std::string text = told + '\n' + c.relay.text() + '\n' + c.settingsText;
  return XXH64(text.data(), text.size(), 0);
}

Limits parseLimits(const Fields& f) {
  Limits limits;
  limits.cores = f.numberOr("cores", limits.cores);
  limits.memoryMb = f.integerOr("memory_mb", 16, 1 << 24, limits.memoryMb);
  limits.sockets = static_cast<int>(f.integerOr("sockets", 64, 1 << 20, limits.sockets));
  return limits;
}

}  // namespace

std::optional<std::string> processEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

Config parse(const std::string& text, const Environment& environment, Newer newer) {
  std::string problems;
  const auto attempt = [&](const auto& part) {
    try {
      part();
    } catch (const std::runtime_error& e) {  // each names its field
      problems += (problems.empty() ? "" : "\n") + std::string(e.what());
    }
  };
  Config c;
  rapidjson::Document doc;
  attempt([&] {
    wire::parseJson(doc, text, "configuration");
    const Fields f(doc, "configuration");
    attempt([&] { c.name = told(f, "name", "NODE_NAME", environment); });
    attempt([&] { c.listen = addressOf(told(f, "listen", "NODE_LISTEN", environment), "listen"); });
    attempt([&] {
      const bool file = newer == Newer::File && f.optional("discovery") != nullptr;
      c.discovery = addressOf(
          file ? f.text("discovery") : told(f, "discovery", "NODE_DISCOVERY", environment), "discovery");
    });
    attempt(
        [&] { c.relay = addressOf(Fields(f.required("relay"), "relay").text("address"), "relay.address"); });
    attempt([&] {
      if (c.relay.port != 0 && c.relay.text() == c.listen.text())
        wrong("relay.address", "is the supervisor's own address");
    });
    attempt([&] {
      if (c.discovery.port != 0 && c.discovery.text() == c.listen.text())
        wrong("discovery", "is the supervisor's own address");
    });
    attempt([&] { c.seed = f.optional("seed") == nullptr ? 0 : seedOf(f.text("seed")); });
    attempt([&] {
      if (const wire::Value* limits = f.optional("limits")) c.limits = parseLimits(Fields(*limits, "limits"));
    });
    attempt([&] {
      c.settings = wire::parseSettings(f.required("settings"), "settings");
      rapidjson::StringBuffer bytes;
      rapidjson::Writer<rapidjson::StringBuffer> writer(bytes);
      f.required("settings").Accept(writer);
      c.settingsText.assign(bytes.GetString(), bytes.GetSize());
      if (c.settings.slices == 0) wrong("settings.extra.shards", "is 0: this protocol needs slices");
    });
    attempt([&] {
      c.names = parseNames(Fields(f.required("settings"), "settings"));
      if (const wire::Value* known = f.optional("known")) {
        c.known = discovery::parseCatalog(*known, c.names, "known");
        c.knownEndpoints = discovery::parseEndpoints(*known, "known");
      }
      c.known.kind = EndpointListKind::Cached;
    });
    readVersion(f, c);
    c.content = contentOf(f, c);
  });
  if (!problems.empty()) throw ParseError(ParseErrorCode::InvalidConfiguration, "", problems);
  return c;
}

Config load(const std::string& path, const Environment& environment, Newer newer) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw ParseError(ParseErrorCode::InvalidConfiguration, "NODE_CONFIG", "cannot read '" + path + "'");
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad() || text.str().empty())
    throw ParseError(ParseErrorCode::InvalidConfiguration, "NODE_CONFIG",
                     "'" + path + "' cannot be read or is empty");
  return parse(text.str(), environment, newer);
}

std::vector<std::string> needRestart(const Config& then, const Config& now) {
  std::vector<std::string> fields;
  if (then.name != now.name) fields.emplace_back("name");
  if (then.listen.text() != now.listen.text()) fields.emplace_back("listen");
  if (then.limits != now.limits) fields.emplace_back("limits");
  if (then.settingsText != now.settingsText) fields.emplace_back("settings");
  return fields;
}

}  // namespace peargrade::config
