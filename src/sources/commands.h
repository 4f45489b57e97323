// `peargrade srv lookup` and `peargrade sources explain`: one run each, on standard output.
#pragma once

#include "sources/source_registry.h"

namespace peargrade::sources {

// Exit codes: 0 complete, 1 failed, 2 wrong words, 3 partial.
int lookup(const LookupCommand& asked, log::Log& log);
int explain(const ExplainCommand& asked, const op::Operator& op, const discovery::Names& names,
            log::Log& log);

}  // namespace peargrade::sources
