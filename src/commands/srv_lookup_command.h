/// `peargrade srv lookup`: looks up the SRV records of a service once.
#pragma once

#include "commands/command.h"
#include "sources/source_registry.h"

namespace peargrade::commands {

class SrvLookupCommand : public Command {
 public:
  explicit SrvLookupCommand(CLI::App& program);
  int run() override;

 private:
  sources::LookupCommand arguments_;
};

}  // namespace peargrade::commands
