/// Error of parsing external input: messages, the configuration and the operator's file.
#pragma once

#include <stdexcept>
#include <string>

namespace peargrade {

/// Kind of the invalid input.
enum class ParseErrorCode {
  InvalidJson,           // the bytes are not JSON
  InvalidMessage,        // a message or line lacks a field, or one is out of range
  InvalidConfiguration,  // the supervisor's configuration
  InvalidOperatorFile,   // the operator's file
};

/// Invalid input. what() is "PLACE: MESSAGE", or the message alone if it names the places itself, with a line
/// for each error.
class ParseError : public std::runtime_error {
 public:
  ParseError(ParseErrorCode code, const std::string& place, const std::string& message)
      : std::runtime_error(place.empty() ? message : place + ": " + message), code_(code), place_(place) {}

  ParseErrorCode code() const { return code_; }
  /// The invalid field, file or message; "" if the message names the places itself.
  const std::string& place() const { return place_; }

 private:
  ParseErrorCode code_;
  std::string place_;
};

}  // namespace peargrade
