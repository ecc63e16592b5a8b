// The dispatcher's command line.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "dispatcher/dispatcher.h"
#include "logging/log.h"

namespace {

constexpr const char* kVersion = "0.2.0";

// The values of the command line. An empty path means that the option was not given.
struct Options {
  std::string configPath;
  std::string operatorPath;
  std::string logLevel{"info"};
  std::string logFormat{"text"};
};

void addConfigOptions(CLI::App& command, Options& options, const char* configHelp) {
  command.add_option("-c,--config", options.configPath, configHelp);
  command
      .add_option("-o,--operator", options.operatorPath,
                  "operator's file, whose keys replace those of the configuration (JSON; see docs/zones.md, "
                  "docs/overload.md)")
      ->check(CLI::ExistingFile);
}

void check(const Options& options) {
  const auto config = stonewing::loadConfig(options.configPath, options.operatorPath);
  const auto settings = stonewing::deploymentSettings(config);
  std::cout << config.name << " at " << config.listenAddress << ": " << settings.types.size()
            << " traffic types, " << settings.zoneFailover.priorities.size() << " tiers of zones\n";
}

void serve(const Options& options) {
  stonewing::blockSignals();
  const auto load = [&options] { return stonewing::loadConfig(options.configPath, options.operatorPath); };
  stonewing::Dispatcher(load(), load).run();
}

int runCommandLine(int argc, char** argv) {
  CLI::App app{"stonewing delivers outbound messages to other firms' systems"};
  app.require_subcommand(1);
  Options options;
  auto* serveCommand = app.add_subcommand("serve", "run one dispatcher until SIGTERM");
  addConfigOptions(*serveCommand, options, "configuration file (default: the file that EDGE_CONFIG names)");
  serveCommand->add_option("-l,--log", options.logLevel, "log level: trace, debug, info, warn, error or off")
      ->capture_default_str();
  serveCommand
      ->add_option("--log-format", options.logFormat, "log format: text, or json with one object per line")
      ->capture_default_str();
  auto* checkCommand = app.add_subcommand("check", "read a configuration and report the first error in it");
  addConfigOptions(*checkCommand, options, "configuration file, as for serve");
  auto* versionCommand = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  stonewing::log::open("stonewing", options.logLevel, options.logFormat);
  if (*versionCommand) std::cout << "stonewing " << kVersion << "\n";
  if (*checkCommand) check(options);
  if (*serveCommand) serve(options);
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return runCommandLine(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "stonewing: " << problem.what() << "\n";
    return EXIT_FAILURE;
  }
}
