/// Checked access to the fields of untrusted JSON, shared by all JSON parsers. Every error is a ParseError
/// that names the location and the field, as in "batch 12: supervisor 3: upstreamStats: 'total' is missing".
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "errors/parse_error.h"

namespace peargrade::wire {

using rapidjson::Value;

/// Maximum value of a count or an index in a message.
inline constexpr std::int64_t kIntMax = 2147483647;
/// Maximum value of a time, a duration or a version in a message.
inline constexpr std::int64_t kMicrosMax = INT64_MAX;
/// Maximum proxy id.
inline constexpr std::int64_t kProxyMax = 65535;
/// Maximum id of a routing table; this id denotes all tables.
inline constexpr std::int64_t kTableMax = 65535;

/// Throws ParseError with the code InvalidMessage. `where`: location of the error. `what`: description.
[[noreturn]] void fail(const std::string& where, const std::string& what);

/// Parses `bytes` into `document`. Throws ParseError with the code InvalidJson, which gives `where` as the
/// location.
void parseJson(rapidjson::Document& document, const std::string& bytes, const std::string& where);

/// Typed access to the fields of one JSON object. A field whose value is null counts as absent. Each accessor
/// throws ParseError if the field has the wrong type, is out of range, or is required but absent; the `...Or`
/// accessors return `fallback` if the field is absent. Holds a reference to the JSON value, which must
/// outlive it.
class Fields {
 public:
  /// `where`: the location to name in errors. Throws ParseError if `value` is not an object.
  Fields(const Value& value, std::string where);

  const std::string& where() const { return where_; }

  /// Returns null if the field is absent.
  const Value* optional(const char* name) const;
  const Value& required(const char* name) const;
  /// `min` and `max` are inclusive.
  std::int64_t integer(const char* name, std::int64_t min, std::int64_t max) const;
  std::int64_t integerOr(const char* name, std::int64_t min, std::int64_t max, std::int64_t fallback) const;
  /// A finite number.
  double number(const char* name) const;
  double numberOr(const char* name, double fallback) const;
  std::string text(const char* name) const;
  std::string textOr(const char* name, const char* fallback) const;
  /// Returns false if the field is absent.
  bool boolean(const char* name) const;
  const Value& array(const char* name) const;

  /// Throws ParseError with the text "'<name>' <problem>".
  [[noreturn]] void failField(const char* name, const std::string& problem) const;

 private:
  std::int64_t checkInteger(const Value& value, const char* name, std::int64_t min, std::int64_t max) const;
  double checkNumber(const Value& value, const char* name) const;
  std::string checkText(const Value& value, const char* name) const;

  const Value& value_;
  std::string where_;
};

/// Returns the server id in a field: non-empty, printable ASCII without spaces, double quotes and
/// backslashes.
std::string serverId(const Fields& fields, const char* name);

/// Maps the string in a field to a value. `words`: the allowed strings and their values.
template <class T>
T oneOf(const Fields& fields, const char* name, const std::map<std::string, T>& words) {
  const auto found = words.find(fields.text(name));
  if (found == words.end()) fields.failField(name, "has an unknown value");
  return found->second;
}

}  // namespace peargrade::wire
