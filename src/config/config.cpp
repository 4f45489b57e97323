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

constexpr std::size_t kClassesMax = 32;  // the message of parseNames() repeats it
constexpr int kHexBase = 16;
// Names are written to lines of the relay protocol and must not contain its separators.
constexpr char kRelaySeparators[] = " ,;+*\r\n";

[[noreturn]] void fail(const std::string& field, const std::string& message) {
  throw ParseError(ParseErrorCode::InvalidConfiguration, field, message);
}

net::Address parseAddress(const std::string& text, const std::string& field) {
  const auto address = net::Address::parse(text);
  if (!address) fail(field, "'" + text + "' is no address of the form 127.0.0.1:3000");
  return *address;
}

std::uint64_t parseSeed(const std::string& hex) {
  std::uint64_t seed = 0;
  const char* const end = hex.data() + hex.size();
  const auto parsed = std::from_chars(hex.data(), end, seed, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    fail("seed", "is not a number of up to 16 hexadecimal digits");
  return seed;
}

Limits parseLimits(const Fields& fields) {
  Limits limits;
  limits.cores = fields.numberOr("cores", limits.cores);
  limits.memoryMb = fields.integerOr("memory_mb", 16, 1 << 24, limits.memoryMb);
  limits.sockets = static_cast<int>(fields.integerOr("sockets", 64, 1 << 20, limits.sockets));
  return limits;
}

std::vector<std::string> parseNameList(const wire::Value& list, const std::string& field) {
  if (!list.IsArray()) fail(field, "is not an array");
  std::vector<std::string> names;
  std::set<std::string> unique;
  for (const wire::Value& item : list.GetArray()) {
    if (!item.IsString()) fail(field, "has an element that is not a string");
    const std::string name(item.GetString(), item.GetStringLength());
    if (name.empty() || name.find_first_of(kRelaySeparators) != std::string::npos)
      fail(field, "'" + name + "' is empty or contains a separator of the relay protocol");
    if (!unique.insert(name).second) fail(field, "'" + name + "' occurs twice");
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> parseClassNames(const Fields& settings) {
  rapidjson::Document names(rapidjson::kArrayType);
  for (const wire::Value& requestClass : settings.array("classes").GetArray()) {
    const std::string name = Fields(requestClass, "settings.classes").text("name");
    names.PushBack(wire::Value(name.c_str(), names.GetAllocator()).Move(), names.GetAllocator());
  }
  return parseNameList(names, "settings.classes");
}

discovery::Names parseNames(const Fields& settings) {
  discovery::Names names;
  names.zones = parseNameList(settings.array("zones"), "settings.zones");
  if (names.zones.empty()) fail("settings.zones", "is empty");
  if (const wire::Value* const kinds = settings.optional("kinds"))
    names.kinds = parseNameList(*kinds, "settings.kinds");
  names.classes = parseClassNames(settings);
  if (names.classes.size() > kClassesMax) fail("settings.classes", "has more than 32 classes");
  return names;
}

std::string toJson(const wire::Value& value) {
  rapidjson::StringBuffer bytes;
  rapidjson::Writer<rapidjson::StringBuffer> writer(bytes);
  value.Accept(writer);
  return {bytes.GetString(), bytes.GetSize()};
}

/// Collects the errors of several fields, a line for each.
class ErrorList {
 public:
  /// Runs `read` and stores its ParseError, if it throws one.
  template <class Read>
  void collect(const Read& read) {
    try {
      read();
    } catch (const ParseError& error) {
      if (!text_.empty()) text_ += '\n';
      text_ += error.what();
    }
  }
  void throwIfAny() const {
    if (!text_.empty()) throw ParseError(ParseErrorCode::InvalidConfiguration, "", text_);
  }

 private:
  std::string text_;
};

/// Reads one configuration field by field. It continues after an invalid field, so that all errors are
/// reported.
class Parser {
 public:
  Parser(const Fields& fields, const Environment& environment, DiscoveryPrecedence precedence,
         ErrorList& errors)
      : fields_(fields), environment_(environment), precedence_(precedence), errors_(errors) {}

  Config parse() {
    errors_.collect([this] { config_.name = environmentOr("name", "NODE_NAME"); });
    errors_.collect(
        [this] { config_.listen = parseAddress(environmentOr("listen", "NODE_LISTEN"), "listen"); });
    errors_.collect([this] { config_.discovery = parseAddress(discoveryText(), "discovery"); });
    errors_.collect([this] { config_.relay = parseAddress(relayText(), "relay.address"); });
    errors_.collect([this] { checkNotOwn(config_.relay, "relay.address"); });
    errors_.collect([this] { checkNotOwn(config_.discovery, "discovery"); });
    errors_.collect([this] {
      if (fields_.optional("seed") != nullptr) config_.seed = parseSeed(fields_.text("seed"));
    });
    errors_.collect([this] {
      if (const wire::Value* const limits = fields_.optional("limits"))
        config_.limits = parseLimits(Fields(*limits, "limits"));
    });
    errors_.collect([this] { readSettings(); });
    errors_.collect([this] { readNamesAndCachedList(); });
    readVersion();
    config_.contentHash = contentHash();
    return config_;
  }

 private:
  // A variable that is set and not empty takes precedence over the field.
  std::string environmentOr(const char* field, const char* variable) const {
    if (const auto value = environment_(variable); value && !value->empty()) return *value;
    if (fields_.optional(field) == nullptr)
      fail(field, std::string("is missing, and ") + variable + " is not set");
    return fields_.text(field);
  }

  std::string discoveryText() const {
    const bool fromFile =
        precedence_ == DiscoveryPrecedence::File && fields_.optional("discovery") != nullptr;
    return fromFile ? fields_.text("discovery") : environmentOr("discovery", "NODE_DISCOVERY");
  }

  std::string relayText() const { return Fields(fields_.required("relay"), "relay").text("address"); }

  // Port 0 means that the address could not be parsed, which has been reported already.
  void checkNotOwn(const net::Address& peer, const char* field) const {
    if (peer.port != 0 && peer.text() == config_.listen.text())
      fail(field, "is the supervisor's own address");
  }

  void readSettings() {
    const wire::Value& settings = fields_.required("settings");
    config_.settings = wire::parseSettings(settings, "settings");
    config_.settingsText = toJson(settings);
    if (config_.settings.slices == 0) fail("settings.extra.shards", "is 0, expected at least 1 slice");
  }

  void readNamesAndCachedList() {
    config_.names = parseNames(Fields(fields_.required("settings"), "settings"));
    if (const wire::Value* const known = fields_.optional("known")) {
      config_.cachedList = discovery::parseCatalog(*known, config_.names, "known");
      config_.cachedAddresses = discovery::parseSocketAddresses(*known, "known");
    }
    config_.cachedList.kind = EndpointListKind::Cached;
  }

  // An invalid version is an error only if a reload applies settings. Otherwise the field is not used.
  void readVersion() {
    const wire::Value* const version = fields_.optional("version");
    if (version == nullptr) return;
    config_.versionIsInvalid = !version->IsInt64() || version->GetInt64() < 0;
    if (!config_.versionIsInvalid) config_.version = version->GetInt64();
  }

  std::uint64_t contentHash() const {
    const wire::Value* const discovery = fields_.optional("discovery");
    const bool hasText = discovery != nullptr && discovery->IsString();
    const std::string discoveryText = hasText ? discovery->GetString() : "";
    const std::string content = discoveryText + '\n' + config_.relay.text() + '\n' + config_.settingsText;
    return XXH64(content.data(), content.size(), 0);
  }

  const Fields& fields_;
  const Environment& environment_;
  const DiscoveryPrecedence precedence_;
  ErrorList& errors_;
  Config config_;
};

}  // namespace

std::optional<std::string> processEnvironment(const char* name) {
  const char* const value = std::getenv(name);
  if (value == nullptr) return std::nullopt;
  return value;
}

Config parse(const std::string& text, const Environment& environment, DiscoveryPrecedence precedence) {
  Config config;
  ErrorList errors;
  errors.collect([&] {
    rapidjson::Document document;
    wire::parseJson(document, text, "configuration");
    const Fields fields(document, "configuration");
    config = Parser(fields, environment, precedence, errors).parse();
  });
  errors.throwIfAny();
  return config;
}

Config load(const std::string& path, const Environment& environment, DiscoveryPrecedence precedence) {
  std::ifstream file(path, std::ios::binary);
  if (!file) fail("NODE_CONFIG", "cannot read '" + path + "'");
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad() || text.str().empty()) fail("NODE_CONFIG", "'" + path + "' cannot be read or is empty");
  return parse(text.str(), environment, precedence);
}

std::vector<std::string> fieldsNeedingRestart(const Config& current, const Config& next) {
  std::vector<std::string> fields;
  if (current.name != next.name) fields.emplace_back("name");
  if (current.listen.text() != next.listen.text()) fields.emplace_back("listen");
  if (current.limits != next.limits) fields.emplace_back("limits");
  if (current.settingsText != next.settingsText) fields.emplace_back("settings");
  return fields;
}

}  // namespace peargrade::config
