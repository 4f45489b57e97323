/// Errors of commands: one message on standard error and an exit code.
#pragma once

#include <functional>

namespace peargrade::commands {

/// Exit code for an error while a command runs.
inline constexpr int kExitFailure = 1;
/// Exit code for a configuration or an operator's file that cannot be used.
inline constexpr int kExitInvalidFile = 2;

/// Returns the exit code of `body`. For a std::exception it writes the message and returns kExitFailure.
int reportingErrors(const std::function<int()>& body);

}  // namespace peargrade::commands
