// `peargrade srv lookup` and `peargrade sources explain`: one run each, on standard output.
#pragma once

#include "sources/source_registry.h"

namespace peargrade::sources {

/// What a lookup came to; the value is the exit code of `peargrade srv lookup`. 2 stands for wrong usage.
enum class LookupOutcome {
  Found = 0,       // all records of the service
  NoAnswer = 1,    // no name server could say
  Partial = 3,     // some records; there may be more
  NoSuchName = 4,  // the name does not exist
  NoRecords = 5,   // the name exists, the service has no records or is not offered
};

/// Looks a service up once and prints what was found. Returns the exit code.
int lookup(const LookupCommand& asked, log::Log& log);
/// Asks every source once and prints what each says. Exit codes: 0; 2 wrong usage; 3 a source did not answer.
int explain(const ExplainCommand& asked, const op::Operator& op, const discovery::Names& names,
            log::Log& log);

}  // namespace peargrade::sources
