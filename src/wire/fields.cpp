#include "wire/fields.h"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <cmath>

namespace peargrade::wire {

void fail(const std::string& where, const std::string& what) {
  throw ParseError(ParseErrorCode::InvalidMessage, where, what);
}

void parseJson(rapidjson::Document& document, const std::string& bytes, const std::string& where) {
  // Parse iteratively, so that deeply nested input cannot exhaust the stack.
  constexpr unsigned kFlags = rapidjson::kParseFullPrecisionFlag | rapidjson::kParseValidateEncodingFlag |
                              rapidjson::kParseIterativeFlag;
  document.Parse<kFlags>(bytes.data(), bytes.size());
  if (!document.HasParseError()) return;
  throw ParseError(ParseErrorCode::InvalidJson, where,
                   std::string("not JSON: ") + rapidjson::GetParseError_En(document.GetParseError()) +
                       " at byte " + std::to_string(document.GetErrorOffset()));
}

Fields::Fields(const Value& value, std::string where) : value_(value), where_(std::move(where)) {
  if (!value_.IsObject()) fail(where_, "is not an object");
}

const Value* Fields::optional(const char* name) const {
  const auto found = value_.FindMember(name);
  if (found == value_.MemberEnd() || found->value.IsNull()) return nullptr;
  return &found->value;
}

const Value& Fields::required(const char* name) const {
  const Value* value = optional(name);
  if (value == nullptr) failField(name, "is missing");
  return *value;
}

std::int64_t Fields::integer(const char* name, std::int64_t min, std::int64_t max) const {
  return checkInteger(required(name), name, min, max);
}

std::int64_t Fields::integerOr(const char* name, std::int64_t min, std::int64_t max,
                               std::int64_t fallback) const {
  const Value* value = optional(name);
  return value == nullptr ? fallback : checkInteger(*value, name, min, max);
}

double Fields::number(const char* name) const { return checkNumber(required(name), name); }

double Fields::numberOr(const char* name, double fallback) const {
  const Value* value = optional(name);
  return value == nullptr ? fallback : checkNumber(*value, name);
}

std::string Fields::text(const char* name) const { return checkText(required(name), name); }

std::string Fields::textOr(const char* name, const char* fallback) const {
  const Value* value = optional(name);
  return value == nullptr ? fallback : checkText(*value, name);
}

bool Fields::boolean(const char* name) const {
  const Value* value = optional(name);
  if (value == nullptr) return false;
  if (!value->IsBool()) failField(name, "is not a boolean");
  return value->GetBool();
}

const Value& Fields::array(const char* name) const {
  const Value& value = required(name);
  if (!value.IsArray()) failField(name, "is not an array");
  return value;
}

void Fields::failField(const char* name, const std::string& problem) const {
  fail(where_, std::string("'") + name + "' " + problem);
}

std::int64_t Fields::checkInteger(const Value& value, const char* name, std::int64_t min,
                                  std::int64_t max) const {
  if (!value.IsInt64()) failField(name, "is not an integer");
  if (value.GetInt64() < min || value.GetInt64() > max)
    failField(name, "is out of range: expected " + std::to_string(min) + " to " + std::to_string(max) +
                        ", found " + std::to_string(value.GetInt64()));
  return value.GetInt64();
}

double Fields::checkNumber(const Value& value, const char* name) const {
  if (!value.IsNumber() || !std::isfinite(value.GetDouble())) failField(name, "is not a number");
  return value.GetDouble();
}

std::string Fields::checkText(const Value& value, const char* name) const {
  if (!value.IsString()) failField(name, "is not a string");
  return {value.GetString(), value.GetStringLength()};
}

std::string serverId(const Fields& fields, const char* name) {
  const auto isAllowed = [](unsigned char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; };
  std::string id = fields.text(name);
  if (id.empty() || !std::all_of(id.begin(), id.end(), isAllowed))
    fields.failField(name, "is not a server id");
  return id;
}

}  // namespace peargrade::wire
