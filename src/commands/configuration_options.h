/// Options of the commands that read the configuration and the operator's file: serve, check, sources
/// explain.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "operator/operator.h"

namespace peargrade::commands {

/// Values that take precedence over the same fields of the configuration file, by option or environment
/// variable.
struct ConfigurationOverrides {
  std::string name;       ///< `--name`, NODE_NAME.
  std::string listen;     ///< `--listen`, NODE_LISTEN.
  std::string discovery;  ///< `--discovery`, NODE_DISCOVERY.

  /// The value for an environment variable, in the form that config::load() asks for. An empty value is not
  /// set.
  std::optional<std::string> valueOf(const std::string& variable) const;
};

/// Both files, loaded and checked.
struct LoadedFiles {
  config::Config configuration;
  std::optional<op::Operator> operatorFile;

  /// Null without an operator's file.
  const op::Operator* operatorSettings() const { return operatorFile ? &*operatorFile : nullptr; }
};

/// Declares the options on a command and loads the files that they name.
class ConfigurationOptions {
 public:
  /// `app`: the command's parser; must outlive this.
  explicit ConfigurationOptions(CLI::App* app);
  ConfigurationOptions(const ConfigurationOptions&) = delete;
  ConfigurationOptions& operator=(const ConfigurationOptions&) = delete;

  /// Path of the operator's file; empty without one.
  const std::string& operatorPath() const { return operatorPath_; }

  /// Loads the files, passes them to `body` and returns its exit code. Writes errors, of `body` too, to
  /// standard error and returns the exit code for them.
  int loadAndRun(const std::function<int(const LoadedFiles&)>& body) const;

  /// Reads the configuration file again. Its fields take precedence over environment variables, which are
  /// older. Throws ParseError.
  config::Config reload() const;

 private:
  LoadedFiles load() const;
  config::Environment environment() const;

  CLI::App* app_;
  std::string path_;
  std::string operatorPath_;
  ConfigurationOverrides overrides_;
};

}  // namespace peargrade::commands
