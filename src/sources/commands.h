// The commands `peargrade srv lookup` and `peargrade sources explain`. Each runs once and prints to standard
// output.
#pragma once

#include "sources/source_registry.h"

namespace peargrade::sources {

/// Result of a lookup. The value is the exit code of `peargrade srv lookup`; exit code 2 means invalid usage.
enum class LookupOutcome {
  Found = 0,       // all records of the service
  NoAnswer = 1,    // no name server gave a usable answer
  Partial = 3,     // some records; there may be more
  NoSuchName = 4,  // the name does not exist
  NoRecords = 5,   // the name exists, but the service has no SRV records or is not offered
};

/// Looks a service up once and prints the result. Returns the exit code, see LookupOutcome.
int lookup(const LookupCommand& command, log::Log& log);
/// Queries every source once and prints, for each server, the entry of every source and the deciding rule.
/// Returns the exit code: 0: every source answered; 2: invalid usage; 3: a source did not answer within the
/// timeout.
int explain(const ExplainCommand& command, const op::Operator& op, const discovery::Names& names,
            log::Log& log);

}  // namespace peargrade::sources
