/// Parser of the KDL Document Language, version 1 (https://kdl.dev/spec-v1/). The result is a tree of nodes
/// with their positions in the text. src/operator validates it against a schema.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peargrade::kdl {

/// A position in the text.
struct Place {
  /// From 1.
  std::size_t line = 1;
  /// From 1, in bytes.
  std::size_t column = 1;
};

/// An argument of a node or the value of a property.
struct Value {
  enum class Kind { Text, Integer, Float, Boolean, Null };

  Kind kind = Kind::Null;
  /// Contents of a Text, without quotes and escapes. For other kinds the value as written in the document.
  std::string text;
  /// Value of an Integer.
  std::int64_t integer = 0;
  /// Value of an Integer or a Float.
  double number = 0;
  /// Value of a Boolean.
  bool boolean = false;
  /// The type annotation in parentheses; empty if there is none.
  std::string type;
  Place place;
};

struct Property {
  std::string name;
  Value value;
  Place place;
};

struct Node {
  std::string name;
  /// The type annotation in parentheses; empty if there is none.
  std::string type;
  Place place;
  std::vector<Value> arguments;
  /// In document order, with repeated names. The language gives a repeated name its last value.
  std::vector<Property> properties;
  std::vector<Node> children;
};

/// A syntax error.
struct Problem {
  Place place;
  /// The text at `place`, or its end.
  std::string found;
  std::string expected;
};

struct Document {
  std::vector<Node> nodes;
  /// Syntax errors, in document order. After an error the parser continues at the next line that begins a
  /// top-level node, so that all errors are reported together.
  std::vector<Problem> problems;
};

/// Size limit of a document, in bytes.
inline constexpr std::size_t kDocumentBytesMax = std::size_t{1} << 20;
/// Limit of nested nodes and comments.
inline constexpr int kNestingDepthMax = 32;

/// Parses a document. Syntax errors do not throw: they are in Document::problems.
Document parse(const std::string& text);

}  // namespace peargrade::kdl
