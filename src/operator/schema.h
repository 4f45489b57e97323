// A declared schema for the operator's file, and the check of a document against it: nodes, arguments,
// properties, units, ranges, and how often each may stand. It knows no particular setting.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kdl/kdl.h"
#include "peargrade/decision_engine.h"

namespace peargrade::op {

// What a field holds, and in which unit it is read.
enum class Kind {
  Duration,  // "400ms": us, ms, s, m, h, d; read in microseconds
  Size,      // "64KiB": B, KiB, MiB, GiB; read in bytes
  Count,     // a whole number
  Share,     // a number from 0 to 1
  Text,
  Word,     // one of the words given
  Address,  // "127.0.0.1:53"
  Flag,     // true or false
};

// Where a field stands in its block.
enum class Form { Node, Argument, Property };  // `name value`, a value of the block, `name=value`

/// One declared setting.
struct Field {
  std::string name;
  Kind kind = Kind::Text;
  /// Range of a number, in the unit that it is read in.
  double least = 0;
  double most = 0;
  /// Default, as the file would have it; empty: none.
  std::string standard;
  Form form = Form::Node;
  /// Must be given.
  bool needed = false;
  /// May be given several times.
  bool many = false;
  std::vector<std::string> words;
  /// One line for people.
  std::string says;
};

/// A declared block of settings.
struct Block {
  std::string name;
  bool many = false;
  std::vector<Field> fields;
  std::vector<Block> blocks;
  std::string says;
};

/// A field as it was read.
struct Read {
  std::string text;
  /// Value of a Duration, Size, Count or Share.
  double number = 0;
  /// Value of a Flag.
  bool yes = false;
  kdl::Place place;
  /// Given by the file; otherwise it is the default.
  bool given = false;
};

/// A block as it was understood; what the file leaves out has its default.
struct Section {
  bool given = false;
  kdl::Place place;
  std::map<std::string, std::vector<Read>> fields;
  std::map<std::string, std::vector<Section>> blocks;

  const Read& one(const std::string& name) const { return fields.at(name).at(0); }
  bool has(const std::string& name) const { return fields.count(name) != 0 && !fields.at(name).empty(); }
  Micros micros(const std::string& name) const { return static_cast<Micros>(one(name).number); }
  std::int64_t whole(const std::string& name) const { return static_cast<std::int64_t>(one(name).number); }
  const Section& block(const std::string& name) const { return blocks.at(name).at(0); }
};

/// One mistake in the file.
struct Complaint {
  kdl::Place place;
  /// Path of the field, for example "sources.dns.timeout".
  std::string where;
  std::string found;
  std::string expected;
};

/// What a field takes, in words: "a duration with its unit, from 10ms to 10s".
std::string takes(const Field& field);

/// Checks all of the document.
Section check(const Block& schema, const kdl::Document& document, std::vector<Complaint>& complaints);

// The schema as a table for people: every setting with what it takes and its standard.
std::string tableOf(const Block& schema);

}  // namespace peargrade::op
