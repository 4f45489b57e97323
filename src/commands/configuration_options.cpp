#include "commands/configuration_options.h"

#include <iostream>

#include "commands/errors.h"
#include "config/reload_check.h"
#include "errors/parse_error.h"

namespace peargrade::commands {

std::optional<std::string> ConfigurationOverrides::valueOf(const std::string& variable) const {
  if (variable == "NODE_NAME") return name;
  if (variable == "NODE_LISTEN") return listen;
  if (variable == "NODE_DISCOVERY") return discovery;
  return std::nullopt;
}

ConfigurationOptions::ConfigurationOptions(CLI::App* app) : app_(app) {
  app->add_option("-c,--config", path_, "configuration file")->envname("NODE_CONFIG");
  app->add_option("--name", overrides_.name,
                  "name of the supervisor; takes precedence over the configuration file")
      ->envname("NODE_NAME");
  app->add_option("--listen", overrides_.listen,
                  "address to listen on; takes precedence over the configuration file")
      ->envname("NODE_LISTEN");
  app->add_option("--discovery", overrides_.discovery,
                  "address of discovery; takes precedence over the configuration file")
      ->envname("NODE_DISCOVERY");
  app->add_option("--operator", operatorPath_,
                  "the operator's file; without it all features that it can enable are off")
      ->envname("PEARGRADE_OPERATOR");
}

int ConfigurationOptions::loadAndRun(const std::function<int(const LoadedFiles&)>& body) const {
  if (path_.empty()) {
    std::cerr << "--config is required\n" << app_->help();
    return static_cast<int>(CLI::ExitCodes::RequiredError);
  }
  return reportingErrors([&] {
    try {
      return body(load());
    } catch (const ParseError& error) {
      if (error.code() == ParseErrorCode::InvalidOperatorFile)
        std::cerr << "peargrade: the operator's file is invalid:\n" << error.what() << '\n';
      else
        std::cerr << "peargrade: the configuration is invalid (" << path_ << "):\n" << error.what() << '\n';
      return kExitInvalidFile;
    }
  });
}

config::Config ConfigurationOptions::reload() const {
  return config::load(path_, environment(), config::DiscoveryPrecedence::File);
}

// If a reload may change the settings, they are checked as strictly at the start.
LoadedFiles ConfigurationOptions::load() const {
  LoadedFiles files;
  files.configuration = config::load(path_, environment());
  if (operatorPath_.empty()) return files;
  files.operatorFile = op::load(operatorPath_, &files.configuration.names);
  if (!files.operatorFile->settingsReload) return files;
  if (const auto rejection = config::validate(files.configuration))
    throw ParseError(ParseErrorCode::InvalidConfiguration, "", rejection->message);
  return files;
}

config::Environment ConfigurationOptions::environment() const {
  return [this](const char* variable) { return overrides_.valueOf(variable); };
}

}  // namespace peargrade::commands
