/// Checked access to JSON from outside, shared by all JSON codecs. Every error is a ParseError that names the
/// place and the field, as in "batch 12: supervisor 3: upstreamStats: 'total' is missing".
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "errors/parse_error.h"

namespace peargrade::wire {

using rapidjson::Value;

/// Largest count or index that a message may carry.
inline constexpr std::int64_t kIntMax = 2147483647;
/// Largest time, duration or version that a message may carry.
inline constexpr std::int64_t kMicrosMax = INT64_MAX;
/// Largest number of a proxy.
inline constexpr std::int64_t kProxyMax = 65535;
/// Largest number of a routing table; it stands for all tables.
inline constexpr std::int64_t kTableMax = 65535;

/// Throws ParseError with the code InvalidMessage.
[[noreturn]] void fail(const std::string& where, const std::string& what);

/// Parses `bytes` into `document`. Throws ParseError with the code InvalidJson.
void parseJson(rapidjson::Document& document, const std::string& bytes, const std::string& where);

/// The fields of one JSON object. A null counts as absent. Each accessor throws ParseError if the field has
/// another type, is out of range, or is absent where it is required; the `...Or` accessors return `fallback`
/// for an absent one. Refers to the value that it was made from.
class Fields {
 public:
  /// `where`: the place that errors name. Throws ParseError if `value` is no object.
  Fields(const Value& value, std::string where);

  const std::string& where() const { return where_; }

  /// Null for an absent field.
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
  /// An absent field is false.
  bool boolean(const char* name) const;
  const Value& array(const char* name) const;

  /// Throws ParseError with "'name' PROBLEM".
  [[noreturn]] void failField(const char* name, const std::string& problem) const;

 private:
  std::int64_t checkInteger(const Value& value, const char* name, std::int64_t min, std::int64_t max) const;
  double checkNumber(const Value& value, const char* name) const;
  std::string checkText(const Value& value, const char* name) const;

  const Value& value_;
  std::string where_;
};

/// A server's id: printable ASCII without spaces, quotes and backslashes.
std::string serverId(const Fields& fields, const char* name);

/// The value that stands for the field's word in `words`.
template <class T>
T oneOf(const Fields& fields, const char* name, const std::map<std::string, T>& words) {
  const auto found = words.find(fields.text(name));
  if (found == words.end()) fields.failField(name, "has an unknown value");
  return found->second;
}

}  // namespace peargrade::wire
