// The dispatcher's command line.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include "base/bytes.h"
#include "dispatcher/dispatcher.h"
#include "logging/log.h"

namespace {

constexpr const char* kVersion = "0.2.0";

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string contents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw stonewing::ConfigError("cannot read " + path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

stonewing::DispatcherConfig ordersFrom(std::string path, const std::string& added) {
  if (path.empty()) path = variable("EDGE_CONFIG");
  if (path.empty()) throw stonewing::ConfigError("no configuration: give --config or set EDGE_CONFIG");
  return stonewing::readConfig(contents(path), variable, added.empty() ? "" : contents(added));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"stonewing delivers callbacks to other firms' systems"};
  app.require_subcommand(1);
  std::string path;
  std::string added;
  std::string level = "info";
  std::string format = "text";
  auto* serve = app.add_subcommand("serve", "run one dispatcher until SIGTERM");
  serve->add_option("-c,--config", path, "its configuration (default: the file that EDGE_CONFIG names)");
  const char* addedHelp = "what the operator adds (JSON; docs/rooms.md, docs/overload.md)";
  serve->add_option("-o,--operator", added, addedHelp)->check(CLI::ExistingFile);
  serve->add_option("-l,--log", level, "trace, debug, info, warn, error or off")->capture_default_str();
  serve->add_option("--log-format", format, "text, or json: an object a line")->capture_default_str();
  auto* check = app.add_subcommand("check", "read a configuration and say what is wrong with it");
  check->add_option("-c,--config", path, "as for serve");
  check->add_option("-o,--operator", added, addedHelp)->check(CLI::ExistingFile);
  auto* version = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);
  try {
    stonewing::log::open("stonewing", level, format);
    if (*version) std::cout << "stonewing " << kVersion << "\n";
    if (*check) {
      auto orders = ordersFrom(path, added);
      auto terms = stonewing::deploymentSettings(orders);
      std::cout << orders.name << " at " << orders.listen << ": " << terms.types.size() << " traffic types, "
                << terms.zoneFailover.priorities.size() << " tiers of rooms\n";
    }
    if (*serve) {
      stonewing::blockSignals();
      stonewing::Dispatcher(ordersFrom(path, added), [&] { return ordersFrom(path, added); }).run();
    }
  } catch (const std::exception& problem) {
    std::cerr << "stonewing: " << problem.what() << "\n";
    return 1;
  }
  return 0;
}
