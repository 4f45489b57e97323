#include "operator/schema.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "net/net.h"

namespace peargrade::op {
namespace {

using Unit = std::pair<const char*, double>;
const std::vector<Unit> kDurations = {{"us", 1},   {"ms", 1e3},   {"s", 1e6},
                                      {"m", 60e6}, {"h", 3600e6}, {"d", 86400e6}};
const std::vector<Unit> kSizes = {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}};

std::string formatNumber(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

// Formats `value` in the largest unit that gives a whole number.
std::string formatWithUnit(double value, const std::vector<Unit>& units) {
  for (auto unit = units.rbegin(); unit != units.rend(); ++unit) {
    if (value >= unit->second && std::fmod(value, unit->second) == 0)
      return formatNumber(value / unit->second) + unit->first;
  }
  return formatNumber(value) + units.front().first;
}

// Parses a number with its unit, such as "1.5s", into the base unit. False if either is invalid.
bool parseWithUnit(const std::string& text, const std::vector<Unit>& units, double& value) {
  const std::size_t end = text.find_first_not_of("0123456789.");
  if (end == 0 || end == std::string::npos || std::count(text.begin(), text.end(), '.') > 1) return false;
  const auto unit =
      std::find_if(units.begin(), units.end(), [&](const Unit& u) { return text.substr(end) == u.first; });
  if (unit == units.end() || text[0] == '.' || text[end - 1] == '.') return false;
  value = std::strtod(text.substr(0, end).c_str(), nullptr) * unit->second;
  return true;
}

std::string formatRange(const Field& field, const std::string& min, const std::string& max) {
  if (field.max == 0) return "";
  return min == max ? ", " + min : " from " + min + " to " + max;
}

std::string formatValue(const kdl::Value& value) {
  return value.kind == kdl::Value::Kind::Text ? "\"" + value.text + "\"" : value.text;
}

class Checker {
 public:
  explicit Checker(std::vector<Complaint>& errors) : errors_(errors) {}

  Section checkBlock(const Block& spec, const kdl::Node& node, const std::string& where) {
    Section section;
    section.given = true;
    section.place = node.place;
    checkArguments(spec, node, where, section);
    checkProperties(spec, node, where, section);
    for (const kdl::Node& child : node.children) checkChild(spec, child, where, section);
    addMissingFields(spec, node.place, where, section);
    return section;
  }

  // The section for a block that the file omits.
  Section defaultSection(const Block& spec) {
    Section section;
    for (const Field& field : spec.fields) {
      std::vector<FieldValue>& values = section.fields[field.name];
      if (!field.defaultValue.empty()) values.push_back(defaultValueOf(field));
    }
    for (const Block& block : spec.blocks) {
      std::vector<Section>& sections = section.blocks[block.name];
      if (!block.repeatable) sections.push_back(defaultSection(block));
    }
    return section;
  }

 private:
  void addError(kdl::Place place, const std::string& where, const std::string& found,
                const std::string& expected) {
    errors_.push_back({place, where, found, expected});
  }
  static std::string joinPath(const std::string& where, const std::string& name) {
    return where.empty() ? name : where + "." + name;
  }

  static FieldValue defaultValueOf(const Field& field) {
    kdl::Value value;
    value.kind = kdl::Value::Kind::Text;
    value.text = field.defaultValue;
    if (field.kind == Kind::Count || field.kind == Kind::Share) {
      value.kind = field.kind == Kind::Count ? kdl::Value::Kind::Integer : kdl::Value::Kind::Float;
      value.number = std::strtod(field.defaultValue.c_str(), nullptr);
    } else if (field.kind == Kind::Flag) {
      value.kind = kdl::Value::Kind::Boolean;
      value.boolean = field.defaultValue == "true";
    }
    FieldValue parsed;
    parseValue(field, value, parsed);
    return parsed;
  }

  static bool parseValue(const Field& field, const kdl::Value& value, FieldValue& parsed) {
    using K = kdl::Value::Kind;
    parsed.text = value.text;
    parsed.number = value.number;
    parsed.yes = value.boolean;
    parsed.place = value.place;
    const auto inRange = [&] {
      return field.max == 0 || (parsed.number >= field.min && parsed.number <= field.max);
    };
    if (!value.type.empty()) return false;
    switch (field.kind) {
      case Kind::Duration:
        return value.kind == K::Text && parseWithUnit(value.text, kDurations, parsed.number) && inRange();
      case Kind::Size:
        return value.kind == K::Text && parseWithUnit(value.text, kSizes, parsed.number) && inRange();
      case Kind::Count:
        return value.kind == K::Integer && inRange();
      case Kind::Share:
        return (value.kind == K::Float || value.kind == K::Integer) && inRange();
      case Kind::Flag:
        return value.kind == K::Boolean;
      case Kind::Address:
        return value.kind == K::Text && net::Address::parse(value.text).has_value();
      case Kind::Word:
        return value.kind == K::Text &&
               std::find(field.words.begin(), field.words.end(), value.text) != field.words.end();
      case Kind::Text:
        return value.kind == K::Text && !value.text.empty() && value.text.size() <= 255;
    }
    return false;
  }

  void addValue(const Field& field, const kdl::Value& value, const std::string& where, Section& section) {
    std::vector<FieldValue>& values = section.fields[field.name];
    if (!values.empty() && !field.repeatable)
      return addError(value.place, joinPath(where, field.name), "a second occurrence", "at most one");
    FieldValue parsed;
    parsed.given = true;
    if (!parseValue(field, value, parsed))
      addError(value.place, joinPath(where, field.name), formatValue(value), describeExpectedValue(field));
    values.push_back(parsed);
  }

  void checkArguments(const Block& spec, const kdl::Node& node, const std::string& where, Section& section) {
    std::size_t next = 0;
    for (const Field& field : spec.fields) {
      if (field.form == Form::Argument && next < node.arguments.size())
        addValue(field, node.arguments[next++], where, section);
    }
    if (next < node.arguments.size())
      addError(node.arguments[next].place, where, formatValue(node.arguments[next]), "no further argument");
  }

  void checkProperties(const Block& spec, const kdl::Node& node, const std::string& where, Section& section) {
    for (const kdl::Property& property : node.properties) {
      const auto declaredField = std::find_if(
          spec.fields.begin(), spec.fields.end(),
          [&](const Field& field) { return field.form == Form::Property && field.name == property.name; });
      if (declaredField == spec.fields.end())
        addError(property.place, where, "'" + property.name + "='", allowedNames(spec, Form::Property));
      else
        addValue(*declaredField, property.value, where, section);
    }
  }

  void checkChild(const Block& spec, const kdl::Node& node, const std::string& where, Section& section) {
    const auto declaredField = std::find_if(spec.fields.begin(), spec.fields.end(), [&](const Field& field) {
      return field.form == Form::Node && field.name == node.name;
    });
    if (declaredField != spec.fields.end()) {
      if (node.arguments.size() != 1 || !node.properties.empty() || !node.children.empty())
        return addError(node.place, joinPath(where, node.name),
                        std::to_string(node.arguments.size()) + " values" +
                            (node.properties.empty() ? "" : " and properties") +
                            (node.children.empty() ? "" : " and a block"),
                        "one value: " + describeExpectedValue(*declaredField));
      return addValue(*declaredField, node.arguments[0], where, section);
    }
    const auto declaredBlock = std::find_if(spec.blocks.begin(), spec.blocks.end(),
                                            [&](const Block& inner) { return inner.name == node.name; });
    if (declaredBlock == spec.blocks.end())
      return addError(node.place, where.empty() ? "file" : where, "'" + node.name + "'",
                      allowedNames(spec, Form::Node));
    std::vector<Section>& sections = section.blocks[declaredBlock->name];
    if (!sections.empty() && !declaredBlock->repeatable)
      return addError(node.place, joinPath(where, node.name), "a second occurrence", "at most one");
    sections.push_back(checkBlock(*declaredBlock, node, joinPath(where, node.name)));
  }

  // Reports required fields that are missing and adds the defaults of the others.
  void addMissingFields(const Block& spec, kdl::Place place, const std::string& where, Section& section) {
    for (const Field& field : spec.fields) {
      std::vector<FieldValue>& values = section.fields[field.name];
      if (!values.empty()) continue;
      if (field.required)
        addError(place, joinPath(where, field.name), "nothing", describeExpectedValue(field));
      if (!field.defaultValue.empty()) values.push_back(defaultValueOf(field));
    }
    for (const Block& block : spec.blocks) {
      std::vector<Section>& sections = section.blocks[block.name];
      if (sections.empty() && !block.repeatable) sections.push_back(defaultSection(block));
    }
  }

  // Lists the names that may occur in the block in this form.
  static std::string allowedNames(const Block& spec, Form form) {
    std::string names;
    const auto add = [&](const std::string& name) { names += (names.empty() ? "" : ", ") + name; };
    for (const Field& field : spec.fields) {
      if (field.form == form) add(field.name);
    }
    if (form == Form::Node) {
      for (const Block& block : spec.blocks) add(block.name);
    }
    return names.empty() ? "no such entry here" : "one of: " + names;
  }

  std::vector<Complaint>& errors_;
};

void writeField(std::ostringstream& out, const std::string& where, const Field& field) {
  out << "  " << where << (where.empty() ? "" : ".") << field.name << "\n      "
      << describeExpectedValue(field);
  if (!field.defaultValue.empty()) out << "; default " << field.defaultValue;
  if (field.required) out << "; required";
  if (field.repeatable) out << "; may be repeated";
  if (!field.description.empty()) out << "\n      " << field.description;
  out << '\n';
}

void writeBlock(std::ostringstream& out, const std::string& where, const Block& spec) {
  for (const Field& field : spec.fields) writeField(out, where, field);
  for (const Block& block : spec.blocks)
    writeBlock(out, where.empty() ? block.name : where + "." + block.name, block);
}

}  // namespace

std::string describeExpectedValue(const Field& field) {
  switch (field.kind) {
    case Kind::Duration:
      return "a duration with its unit (us, ms, s, m, h, d)" +
             formatRange(field, formatWithUnit(field.min, kDurations), formatWithUnit(field.max, kDurations));
    case Kind::Size:
      return "a size with its unit (B, KiB, MiB, GiB)" +
             formatRange(field, formatWithUnit(field.min, kSizes), formatWithUnit(field.max, kSizes));
    case Kind::Count:
      return "a whole number" + formatRange(field, formatNumber(field.min), formatNumber(field.max));
    case Kind::Share:
      return "a number" + formatRange(field, formatNumber(field.min), formatNumber(field.max));
    case Kind::Flag:
      return "true or false";
    case Kind::Address:
      return "an address of the form \"127.0.0.1:53\"";
    case Kind::Word: {
      std::string words;
      for (const std::string& w : field.words) words += (words.empty() ? "\"" : ", \"") + w + "\"";
      return "one of " + words;
    }
    case Kind::Text:
      return "a string of 1 to 255 characters";
  }
  return "";
}

Section check(const Block& schema, const kdl::Document& document, std::vector<Complaint>& errors) {
  kdl::Node root;
  root.children = document.nodes;
  for (const kdl::Problem& problem : document.problems)
    errors.push_back({problem.place, "file", problem.found, problem.expected});
  Section section = Checker(errors).checkBlock(schema, root, "");
  return section;
}

std::string tableOf(const Block& schema) {
  std::ostringstream out;
  writeBlock(out, "", schema);
  return out.str();
}

}  // namespace peargrade::op
