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

void writeNumber(Writer& json, double value) {
  if (value == std::floor(value) && std::abs(value) < 1e15)
    json.Int64(static_cast<std::int64_t>(value));
  else
    json.Double(value);
}

void writeMetrics(Writer& json, const char* name, const std::map<std::string, double>& all) {
  json.Key(name);
  json.StartObject();
  for (const auto& [key, value] : all) {
    json.Key(key.c_str());
    writeNumber(json, value);
  }
  json.EndObject();
}

std::map<std::string, double> parseMetrics(const rapidjson::Value& record, const char* name) {
  std::map<std::string, double> metrics;
  for (const auto& member : record[name].GetObject())
    metrics[member.name.GetString()] = member.value.GetDouble();
  return metrics;
}

Record parseRecord(const rapidjson::Value& json) {
  Record record;
  record.revision = json["revision"].GetString();
  record.scenario = json["scenario"].GetString();
  record.role = json["role"].GetString();
  record.variable = json["variable"].GetString();
  record.value = json["value"].GetDouble();
  record.repetition = json["repetition"].GetInt();
  record.seed = json["seed"].GetUint64();
  record.seconds = json["seconds"].GetDouble();
  record.host.cores = json["machine"]["cores"].GetInt();
  record.host.memoryBytes = json["machine"]["memory_mb"].GetInt64() << 20;
  record.sizes = parseMetrics(json, "sizes");
  record.metrics = parseMetrics(json, "metrics");
  return record;
}

/// Whether the object has all members of a record, with their types.
bool isValidRecord(const rapidjson::Value& json) {
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

std::map<std::string, double> sizesOf(const Scenario& scenario) {
  std::map<std::string, double> sizes;
  for (const char* name : {"supervisors", "machines", "real", "servers", "services", "racks", "slices",
                           "proxies", "zones", "regions", "tenants", "reported", "requests"})
    sizes[name] = variableValue(scenario, name);
  sizes["changes_per_minute"] = scenario.changesPerMinute;
  sizes["reports_every_s"] = static_cast<double>(scenario.reportInterval) / 1e6;
  return sizes;
}

void writeRecord(std::ostream& out, const Record& record) {
  rapidjson::StringBuffer text;
  Writer json(text);
  json.SetMaxDecimalPlaces(9);
  json.StartObject();
  json.Key("revision");
  json.String(record.revision.c_str());
  json.Key("machine");
  json.StartObject();
  json.Key("cores");
  json.Int(record.host.cores);
  json.Key("memory_mb");
  json.Int64(record.host.memoryBytes >> 20);
  json.EndObject();
  json.Key("scenario");
  json.String(record.scenario.c_str());
  json.Key("role");
  json.String(record.role.c_str());
  json.Key("variable");
  json.String(record.variable.c_str());
  json.Key("value");
  writeNumber(json, record.value);
  json.Key("repetition");
  json.Int(record.repetition);
  json.Key("seed");
  json.Uint64(record.seed);
  json.Key("seconds");
  json.Double(record.seconds);
  writeMetrics(json, "sizes", record.sizes);
  writeMetrics(json, "metrics", record.metrics);
  json.EndObject();
  out << text.GetString() << '\n' << std::flush;
}

std::vector<Record> readRecords(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ":1: cannot open the file, expected records of a load test");
  std::vector<Record> records;
  std::size_t lineNumber = 0;
  for (std::string line; std::getline(in, line);) {
    ++lineNumber;
    if (line.empty()) continue;
    rapidjson::Document doc;
    doc.Parse(line.c_str());
    if (doc.HasParseError() || !isValidRecord(doc))
      throw std::runtime_error(
          path + ":" + std::to_string(lineNumber) +
          ": found an invalid record, expected a JSON object as written by `peargrade_scale run`");
    records.push_back(parseRecord(doc));
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
