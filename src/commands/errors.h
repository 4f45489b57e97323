/// Error reports of commands: a message on standard error and an exit code.
#pragma once

#include <functional>

namespace peargrade::commands {

/// Exit code if a command fails.
inline constexpr int kExitFailure = 1;
/// Exit code if the configuration or the operator's file is missing or invalid.
inline constexpr int kExitInvalidFile = 2;

/// Returns the exit code of `body`. If `body` throws a std::exception, writes its message to standard error
/// and returns kExitFailure.
int reportingErrors(const std::function<int()>& body);

}  // namespace peargrade::commands
