/// The program peargrade_simulator_adapter: decision engines on standard input and output.
#pragma once

#include <iosfwd>

namespace peargrade::simulator {

/// Answers one batch a line from `in` with one reply a line on `out`, until the end of input. Returns the
/// exit code: 0, or 1 after a malformed batch, which it describes on `err`.
int runAdapter(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace peargrade::simulator
