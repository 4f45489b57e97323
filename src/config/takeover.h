// What a running supervisor may take over of a new configuration, and why it refuses one.
#pragma once

#include <optional>
#include <string>

#include "config/config.h"

namespace peargrade::config {

// Why a new configuration is refused. docs/oncall.md lists the codes.
enum class Refusal {
  Unreadable,    // missing, half written, or a field is wrong (ParseError)
  OutOfRange,    // a value of `settings` that no site can have
  WrongVersion,  // `version` is missing where one is in force, or is no whole number from 0 on
  StaleVersion,  // lower than the one in force
  SameVersion,   // the one in force, with other content
  Structure,     // a field that stays as it was at the start
};
// The code that stands in the log line.
const char* code(Refusal refusal);

struct Objection {
  Refusal refusal = Refusal::Unreadable;
  std::string what;  // "FIELD: what is wrong with it", several parted by a line break
};

// What is wrong with a configuration by itself, beyond what `parse` checks: ranges of `settings`, the form of
// `version`. Nothing: it is sound.
std::optional<Objection> unsound(const Config& config);

// Why `next` may not take the place of `inForce` in a running program. Nothing: it may.
std::optional<Objection> objection(const Config& inForce, const Config& next);

// "version 7 (content 00c0ffee00c0ffee)", or "no version (content ...)", for the log.
std::string versionOf(const Config& config);

}  // namespace peargrade::config
