// Reads the fields of JSON objects; every complaint names the place and the field. Shared by all JSON codecs.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "errors/parse_error.h"
#include "peargrade/decision_engine.h"

namespace peargrade::wire {

using rapidjson::Value;

// A place in the batch, for messages: "turn 12: supervisor 3: upstreamStats: 'total' is missing".
[[noreturn]] inline void fail(const std::string& where, const std::string& what) {
  throw ParseError(ParseErrorCode::InvalidMessage, where, what);
}

// Reads the fields of one JSON object and names it in every complaint.
class Fields {
 public:
  Fields(const Value& value, std::string where) : value_(value), where_(std::move(where)) {
    if (!value_.IsObject()) fail(where_, "is not an object");
  }

  const std::string& where() const { return where_; }

  const Value* optional(const char* name) const {
    auto it = value_.FindMember(name);
    return it == value_.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
  }
  const Value& required(const char* name) const {
    const Value* v = optional(name);
    if (v == nullptr) fail(where_, std::string("'") + name + "' is missing");
    return *v;
  }
  std::int64_t integer(const char* name, std::int64_t least, std::int64_t most) const {
    return checkInteger(required(name), name, least, most);
  }
  std::int64_t integerOr(const char* name, std::int64_t least, std::int64_t most,
                         std::int64_t otherwise) const {
    const Value* v = optional(name);
    return v == nullptr ? otherwise : checkInteger(*v, name, least, most);
  }
  double number(const char* name) const { return checkNumber(required(name), name); }
  double numberOr(const char* name, double otherwise) const {
    const Value* v = optional(name);
    return v == nullptr ? otherwise : checkNumber(*v, name);
  }
  std::string text(const char* name) const { return checkText(required(name), name); }
  std::string textOr(const char* name, const char* otherwise) const {
    const Value* v = optional(name);
    return v == nullptr ? otherwise : checkText(*v, name);
  }
  bool boolean(const char* name) const {  // absent: false
    const Value* v = optional(name);
    if (v != nullptr && !v->IsBool()) fail(where_, std::string("'") + name + "' is not true or false");
    return v != nullptr && v->GetBool();
  }
  const Value& array(const char* name) const {
    const Value& v = required(name);
    if (!v.IsArray()) fail(where_, std::string("'") + name + "' is not an array");
    return v;
  }

 private:
  std::int64_t checkInteger(const Value& v, const char* name, std::int64_t least, std::int64_t most) const {
    if (!v.IsInt64()) fail(where_, std::string("'") + name + "' is not a whole number");
    if (v.GetInt64() < least || v.GetInt64() > most)
      fail(where_, std::string("'") + name + "' is out of range");
    return v.GetInt64();
  }
  double checkNumber(const Value& v, const char* name) const {
    if (!v.IsNumber() || !std::isfinite(v.GetDouble()))
      fail(where_, std::string("'") + name + "' is not a number");
    return v.GetDouble();
  }
  std::string checkText(const Value& v, const char* name) const {
    if (!v.IsString()) fail(where_, std::string("'") + name + "' is not a text");
    return {v.GetString(), v.GetStringLength()};
  }

  const Value& value_;
  std::string where_;
};

inline constexpr std::int64_t kIntMax = 2147483647;
inline constexpr std::int64_t kMicrosMax = INT64_MAX;
inline constexpr std::int64_t kProxyMax = 65535;
inline constexpr std::int64_t kTableMax = 65535;

inline std::string serverId(const Fields& f, const char* name) {
  std::string id = f.text(name);
  bool good = !id.empty();
  for (unsigned char c : id) good = good && c > ' ' && c < 127 && c != '"' && c != '\\';
  if (!good) fail(f.where(), std::string("'") + name + "' is not a server id");
  return id;
}

template <class T>
T oneOf(const Fields& f, const char* name, const std::map<std::string, T>& words) {
  auto it = words.find(f.text(name));
  if (it == words.end()) fail(f.where(), std::string("'") + name + "' has an unknown value");
  return it->second;
}

// Parses bytes from outside. Iterative, so that deep nesting cannot exhaust the stack.
inline void parseJson(rapidjson::Document& doc, const std::string& bytes, const std::string& where) {
  constexpr unsigned kFlags = rapidjson::kParseFullPrecisionFlag | rapidjson::kParseValidateEncodingFlag |
                              rapidjson::kParseIterativeFlag;
  doc.Parse<kFlags>(bytes.data(), bytes.size());
  if (!doc.HasParseError()) return;
  throw ParseError(ParseErrorCode::InvalidJson, where,
                   std::string("not JSON: ") + rapidjson::GetParseError_En(doc.GetParseError()) +
                       " at byte " + std::to_string(doc.GetErrorOffset()));
}

// The settings object, as both the simulator's wire and a configuration carry it.
Settings parseSettings(const Value& value, const std::string& where);

}  // namespace peargrade::wire
