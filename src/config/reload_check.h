/// Checks of a configuration that a running supervisor is to apply by a reload.
#pragma once

#include <optional>
#include <string>

#include "config/config.h"

namespace peargrade::config {

/// Why a configuration is rejected. docs/oncall.md lists the codes.
enum class RejectionCode {
  Unreadable,    // missing, half written, or with an invalid field (ParseError)
  OutOfRange,    // a value of `settings` that no site can have
  WrongVersion,  // `version` is missing where one is in force, or is not a whole number from 0 on
  StaleVersion,  // lower than the one in force
  SameVersion,   // the one in force, with other content
  Structure,     // a field that cannot change while the program runs
};
/// The code that stands in the log line: "out-of-range".
const char* codeOf(RejectionCode code);

struct Rejection {
  RejectionCode code = RejectionCode::Unreadable;
  /// "FIELD: what is wrong with it", a line for each field.
  std::string message;
};

/// What is wrong with a configuration by itself beyond what `parse` checks: ranges of `settings`, the form of
/// `version`. Nothing if it is valid.
std::optional<Rejection> validate(const Config& config);

/// Why `next` cannot replace `inForce` in a running program. Nothing if it can.
std::optional<Rejection> checkReload(const Config& inForce, const Config& next);

/// "version 7 (content 00c0ffee00c0ffee)", or "no version (content ...)", for the log.
std::string describeVersion(const Config& config);

}  // namespace peargrade::config
