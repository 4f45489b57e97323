#include "commands/errors.h"

#include <exception>
#include <iostream>

namespace peargrade::commands {

int reportingErrors(const std::function<int()>& body) {
  try {
    return body();
  } catch (const std::exception& error) {
    std::cerr << "peargrade: " << error.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace peargrade::commands
