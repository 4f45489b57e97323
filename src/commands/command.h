/// Base class of the program's commands.
#pragma once

#include <CLI/CLI.hpp>

namespace peargrade::commands {

/// One command, or a group of commands with the same options. Its constructor declares the options; after the
/// command line has been parsed, run() is called for the command that was given.
class Command {
 public:
  virtual ~Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;

  /// Whether the command line names this command.
  bool isGiven() const { return app_->parsed(); }
  /// Executes the command and returns the exit code of the program.
  virtual int run() = 0;

 protected:
  /// `app`: the command's parser, owned by the program's parser.
  explicit Command(CLI::App* app) : app_(app) {}
  CLI::App* app() const { return app_; }

 private:
  CLI::App* app_;
};

}  // namespace peargrade::commands
