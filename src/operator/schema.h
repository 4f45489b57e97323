// Schemas for KDL documents and validation of a document against one: nodes, arguments, properties, units,
// ranges and repetition. The schema of the operator's file itself is in declaration.cpp.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kdl/kdl.h"
#include "peargrade/decision_engine.h"

namespace peargrade::op {

/// Type of a field's value, and the unit that it is converted to.
enum class Kind {
  Duration,  // "400ms": us, ms, s, m, h, d; converted to microseconds
  Size,      // "64KiB": B, KiB, MiB, GiB; converted to bytes
  Count,     // a whole number
  Share,     // a number from 0 to 1
  Text,
  Word,     // one of Field::words
  Address,  // "127.0.0.1:53"
  Flag,     // true or false
};

/// How a field is written in its block.
enum class Form {
  Node,      // a child node: `name value`
  Argument,  // a value after the block's name: `block value`
  Property,  // `name=value` after the block's name
};

/// One declared setting.
struct Field {
  std::string name;
  Kind kind = Kind::Text;
  /// Inclusive range of a number, in the unit that it is converted to. `max` 0: no range.
  double min = 0;
  double max = 0;
  /// Default, as it would be written in the file; empty: none.
  std::string defaultValue;
  Form form = Form::Node;
  /// The file must contain it.
  bool required = false;
  /// May occur several times.
  bool repeatable = false;
  /// Allowed values of a Word.
  std::vector<std::string> words;
  /// One line for the table of settings.
  std::string description;
};

/// A declared block of settings.
struct Block {
  std::string name;
  /// May occur several times.
  bool repeatable = false;
  std::vector<Field> fields;
  std::vector<Block> blocks;
  std::string description;
};

/// Value of a field, from the file or its default.
struct FieldValue {
  std::string text;
  /// Value of a Duration, Size, Count or Share.
  double number = 0;
  /// Value of a Flag.
  bool yes = false;
  kdl::Place place;
  /// Whether the file contains it; otherwise it is the default.
  bool given = false;
};

/// A block after validation. Fields that the file omits have their defaults.
struct Section {
  /// Whether the file contains the block.
  bool given = false;
  kdl::Place place;
  std::map<std::string, std::vector<FieldValue>> fields;
  std::map<std::string, std::vector<Section>> blocks;

  /// First value of a field. The field must have a value in the file or a default.
  const FieldValue& one(const std::string& name) const { return fields.at(name).at(0); }
  bool has(const std::string& name) const { return fields.count(name) != 0 && !fields.at(name).empty(); }
  Micros micros(const std::string& name) const { return static_cast<Micros>(one(name).number); }
  std::int64_t whole(const std::string& name) const { return static_cast<std::int64_t>(one(name).number); }
  const Section& block(const std::string& name) const { return blocks.at(name).at(0); }
};

/// One error in the file.
struct Complaint {
  kdl::Place place;
  /// Path of the field, for example "sources.dns.tries"; "file" for the document itself.
  std::string where;
  std::string found;
  std::string expected;
};

/// Describes the valid values of a field: "a whole number from 1 to 16".
std::string describeExpectedValue(const Field& field);

/// Validates `document` against `schema` and appends every error to `errors`, including syntax errors of the
/// document. The result is complete only if no error was appended.
Section check(const Block& schema, const kdl::Document& document, std::vector<Complaint>& errors);

/// The schema as a table for operators: every setting with its valid values, default and description.
std::string tableOf(const Block& schema);

}  // namespace peargrade::op
