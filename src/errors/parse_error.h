// The error of everything that is read from outside: messages, the configuration and the operator's file.
#pragma once

#include <stdexcept>
#include <string>

namespace peargrade {

/// What could not be read.
enum class ParseErrorCode {
  InvalidJson,           // the bytes are not JSON
  InvalidMessage,        // a message or line lacks a field, or one is out of range
  InvalidConfiguration,  // the supervisor's configuration
  InvalidOperatorFile,   // the operator's file
};

/// Input that does not follow its specification. what() is "PLACE: MESSAGE", or the message alone where it
/// names places itself (a line for each mistake).
class ParseError : public std::runtime_error {
 public:
  ParseError(ParseErrorCode code, const std::string& place, const std::string& message)
      : std::runtime_error(place.empty() ? message : place + ": " + message), code_(code), place_(place) {}

  ParseErrorCode code() const { return code_; }
  /// Where it is: a field, a file or a message; "" where the text names the places.
  const std::string& place() const { return place_; }

 private:
  ParseErrorCode code_;
  std::string place_;
};

}  // namespace peargrade
