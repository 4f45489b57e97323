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

/// Values from options or environment variables that take precedence over fields of the configuration file.
struct ConfigurationOverrides {
  std::string name;       ///< `--name`, NODE_NAME.
  std::string listen;     ///< `--listen`, NODE_LISTEN.
  std::string discovery;  ///< `--discovery`, NODE_DISCOVERY.

  /// The value of the option for an environment variable, for config::load(), which treats an empty value as
  /// not set. Nothing for other variables.
  std::optional<std::string> valueOf(const std::string& variable) const;
};

/// Both files, loaded and checked.
struct LoadedFiles {
  config::Config configuration;
  std::optional<op::Operator> operatorFile;

  /// Null if there is no operator's file.
  const op::Operator* operatorSettings() const { return operatorFile ? &*operatorFile : nullptr; }
};

/// Declares the options on a command and loads the files that they name.
class ConfigurationOptions {
 public:
  /// `app`: parser of the command; must outlive this.
  explicit ConfigurationOptions(CLI::App* app);
  ConfigurationOptions(const ConfigurationOptions&) = delete;
  ConfigurationOptions& operator=(const ConfigurationOptions&) = delete;

  /// Path of the operator's file; empty if there is none.
  const std::string& operatorPath() const { return operatorPath_; }

  /// Loads the files, passes them to `body` and returns its exit code. If loading or `body` throws, writes
  /// the error to standard error and returns its exit code.
  int loadAndRun(const std::function<int(const LoadedFiles&)>& body) const;

  /// Reads the configuration file again. The file's address of discovery takes precedence over the
  /// environment, which is older. Throws ParseError.
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
