/// Checks of a configuration before a reload applies it in a running supervisor.
#pragma once

#include <optional>
#include <string>

#include "config/config.h"

namespace peargrade::config {

/// Why a configuration is rejected. docs/oncall.md lists the codes.
enum class RejectionCode {
  Unreadable,    // the file is missing, incomplete, or has an invalid field (ParseError)
  OutOfRange,    // a value of `settings` is out of its range
  WrongVersion,  // `version` is not a whole number of 0 or more, or is missing while one is in force
  StaleVersion,  // `version` is lower than the one in force
  SameVersion,   // `version` is the one in force, but the content differs
  Structure,     // a field differs that cannot change while the program runs
};
/// Name of the code in log lines, such as "out-of-range".
const char* codeOf(RejectionCode code);

/// Why a configuration is rejected, for the log.
struct Rejection {
  RejectionCode code = RejectionCode::Unreadable;
  /// "FIELD: REASON", a line for each field.
  std::string message;
};

/// Checks what `parse` does not: ranges of `settings` and the format of `version`. Returns nothing if the
/// configuration is valid.
std::optional<Rejection> validate(const Config& config);

/// Checks whether `next` can replace `inForce` in a running program. Returns nothing if it can.
std::optional<Rejection> checkReload(const Config& inForce, const Config& next);

/// "version 7 (content 00c0ffee00c0ffee)", or "no version (content ...)", for the log.
std::string describeVersion(const Config& config);

}  // namespace peargrade::config
