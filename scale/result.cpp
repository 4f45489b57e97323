#include "scale/result.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <ostream>
#include <stdexcept>

namespace peargrade::scale {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void number(Writer& json, double value) {
  if (value == std::floor(value) && std::abs(value) < 1e15)
    json.Int64(static_cast<std::int64_t>(value));
  else
    json.Double(value);
}

void figures(Writer& json, const char* name, const std::map<std::string, double>& all) {
  json.Key(name);
  json.StartObject();
  for (const auto& [key, value] : all) {
    json.Key(key.c_str());
    number(json, value);
  }
  json.EndObject();
}

std::map<std::string, double> figuresOf(const rapidjson::Value& record, const char* name) {
  std::map<std::string, double> all;
  for (const auto& member : record[name].GetObject()) all[member.name.GetString()] = member.value.GetDouble();
  return all;
}

Record recordOf(const rapidjson::Value& json) {
  Record r;
  r.revision = json["revision"].GetString();
  r.scenario = json["scenario"].GetString();
  r.role = json["role"].GetString();
  r.variable = json["variable"].GetString();
  r.value = json["value"].GetDouble();
  r.repetition = json["repetition"].GetInt();
  r.seed = json["seed"].GetUint64();
  r.seconds = json["seconds"].GetDouble();
  r.machine.cores = json["machine"]["cores"].GetInt();
  r.machine.memoryBytes = json["machine"]["memory_mb"].GetInt64() << 20;
  r.sizes = figuresOf(json, "sizes");
  r.metrics = figuresOf(json, "metrics");
  return r;
}

// The members that every record has, so that what is none is told from what is.
bool isRecord(const rapidjson::Value& json) {
  if (!json.IsObject()) return false;
  for (const char* text : {"revision", "scenario", "role", "variable"}) {
    if (!json.HasMember(text) || !json[text].IsString()) return false;
  }
  for (const char* value : {"value", "repetition", "seed", "seconds"}) {
    if (!json.HasMember(value) || !json[value].IsNumber()) return false;
  }
  for (const char* object : {"machine", "sizes", "metrics"}) {
    if (!json.HasMember(object) || !json[object].IsObject()) return false;
    for (const auto& member : json[object].GetObject()) {
      if (!member.value.IsNumber()) return false;
    }
  }
  return json["repetition"].IsInt() && json["seed"].IsUint64() && json["machine"].HasMember("cores") &&
         json["machine"]["cores"].IsInt() && json["machine"].HasMember("memory_mb") &&
         json["machine"]["memory_mb"].IsInt64();
}

}  // namespace

std::map<std::string, double> sizesOf(const Scenario& s) {
  std::map<std::string, double> sizes;
  for (const char* name : {"supervisors", "machines", "real", "servers", "services", "racks", "slices",
                           "proxies", "zones", "regions", "tenants", "reported", "requests"})
    sizes[name] = valueOf(s, name);
  sizes["changes_per_minute"] = s.changesPerMinute;
  sizes["reports_every_s"] = static_cast<double>(s.reportsEvery) / 1e6;
  return sizes;
}

void write(std::ostream& out, const Record& r) {
  rapidjson::StringBuffer text;
  Writer json(text);
  json.SetMaxDecimalPlaces(9);
  json.StartObject();
  json.Key("revision");
  json.String(r.revision.c_str());
  json.Key("machine");
  json.StartObject();
  json.Key("cores");
  json.Int(r.machine.cores);
  json.Key("memory_mb");
  json.Int64(r.machine.memoryBytes >> 20);
  json.EndObject();
  json.Key("scenario");
  json.String(r.scenario.c_str());
  json.Key("role");
  json.String(r.role.c_str());
  json.Key("variable");
  json.String(r.variable.c_str());
  json.Key("value");
  number(json, r.value);
  json.Key("repetition");
  json.Int(r.repetition);
  json.Key("seed");
  json.Uint64(r.seed);
  json.Key("seconds");
  json.Double(r.seconds);
  figures(json, "sizes", r.sizes);
  figures(json, "metrics", r.metrics);
  json.EndObject();
  out << text.GetString() << '\n' << std::flush;
}

std::vector<Record> readRecords(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ":1: found nothing that can be read, expected results");
  std::vector<Record> records;
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    if (line.empty()) continue;
    rapidjson::Document doc;
    doc.Parse(line.c_str());
    if (doc.HasParseError() || !isRecord(doc))
      throw std::runtime_error(path + ":" + std::to_string(number) +
                               ": found no result, expected an object as `run` writes it");
    records.push_back(recordOf(doc));
  }
  return records;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::min(values.size(), std::max<std::size_t>(rank, 1)) - 1];
}

}  // namespace peargrade::scale
