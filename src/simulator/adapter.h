/// The main loop of the program peargrade_simulator_adapter, which runs decision engines over standard input
/// and output.
#pragma once

#include <iosfwd>

namespace peargrade::simulator {

/// Reads one batch per line from `in` and writes one reply per line to `out`, until the end of input. Returns
/// the exit code: 0 at the end of input, or 1 after a malformed batch, which it describes on `err`.
int runAdapter(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace peargrade::simulator
