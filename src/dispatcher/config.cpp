#include "dispatcher/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

#include "base/errors.h"
#include "net/event_loop.h"
#include "settings/settings_reader.h"

namespace stonewing {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerMegabyte = 1'000'000;
constexpr std::size_t kDefaultMaxDescriptors = 1024;
constexpr double kDefaultDiskMegabytes = 3;
constexpr double kDefaultMemoryMegabytes = 128;
constexpr int kSeedBase = 16;

json parseStartFile(std::string_view text) {
  json file = json::parse(text, nullptr, false);
  if (file.is_discarded() || !file.is_object())
    throw ConfigError("the configuration file is not a JSON object");
  return file;
}

json parseOperatorFile(std::string_view text) {
  constexpr bool kAllowExceptions = true;
  constexpr bool kIgnoreComments = true;
  json file;
  try {
    file = json::parse(text, nullptr, kAllowExceptions, kIgnoreComments);
  } catch (const json::parse_error& problem) {
    throw ConfigError(std::string("the operator's file is not valid JSON: ") + problem.what());
  }
  if (!file.is_object()) throw ConfigError("the operator's file must contain a JSON object");
  return file;
}

// The start file with the operator's keys in place of its own.
json withOperatorKeys(json startFile, const json& operatorFile) {
  for (const auto& [key, value] : operatorFile.items()) {
    if (key != "journal" && key != "rooms")
      throw ConfigError("the operator's file has the unknown key '" + key +
                        "'; the allowed keys are journal, rooms");
    startFile[key] = value;
  }
  return startFile;
}

std::string requireKeyOrVariable(const json& file, const char* key, const EnvironmentReader& environment,
                                 const char* variable) {
  std::string value = file.value(key, environment(variable));
  if (value.empty())
    throw ConfigError(std::string("required key '") + key + "' is missing, and the environment variable " +
                      variable + " is not set");
  return value;
}

std::uint64_t readSeed(const json& file) {
  const std::string text = file.value("seed", "0");
  const char* const textEnd = text.data() + text.size();
  std::uint64_t seed{};
  const auto [end, error] = std::from_chars(text.data(), textEnd, seed, kSeedBase);
  if (error != std::errc() || end != textEnd)
    throw ConfigError("'seed' must be a hexadecimal number of up to 16 digits");
  return seed;
}

JournalWriter readJournalWriter(const json& file) {
  const json journal = file.value("journal", json::object());
  if (!journal.is_object())
    throw ConfigError(R"('journal' must be a JSON object, such as {"writer": "aside"})");
  const std::string writer = journal.value("writer", "loop");
  if (writer != "loop" && writer != "aside")
    throw ConfigError("'journal.writer' is '" + writer + R"('; it must be "loop" or "aside")");
  return writer == "aside" ? JournalWriter::backgroundThread : JournalWriter::callingThread;
}

std::size_t readMegabytes(const json& limits, const char* key, double defaultMegabytes) {
  return static_cast<std::size_t>(limits.value(key, defaultMegabytes) * kBytesPerMegabyte);
}

// Throws ConfigError for an invalid value and json::exception for a value of the wrong type.
DispatcherConfig readKeys(const json& file, const EnvironmentReader& environment) {
  DispatcherConfig config;
  config.name = file.value("name", environment("EDGE_NAME"));
  config.listenAddress = requireKeyOrVariable(file, "listen", environment, "EDGE_LISTEN");
  config.discoveryAddress = requireKeyOrVariable(file, "discovery", environment, "EDGE_DISCOVERY");
  config.journalFolder = requireKeyOrVariable(file, "state", environment, "EDGE_STATE");
  config.seed = readSeed(file);
  const json limits = file.value("limits", json::object());
  config.maxDescriptors = limits.value("sockets", kDefaultMaxDescriptors);
  config.maxJournalBytes = readMegabytes(limits, "disk_mb", kDefaultDiskMegabytes);
  config.maxMemoryBytes = readMegabytes(limits, "memory_mb", kDefaultMemoryMegabytes);
  config.journalWriter = readJournalWriter(file);
  if (file.contains("rooms")) config.zoneFailover = file["rooms"].dump();
  if (!file.contains("settings"))
    throw ConfigError("required key 'settings' is missing from the configuration file");
  config.settings = file["settings"].dump();
  if (file.contains("known")) config.knownEndpoints = file["known"].dump();
  return config;
}

std::string readEnvironment(const char* variable) {
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError("cannot open file " + path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace

DispatcherConfig readConfig(std::string_view text, const EnvironmentReader& environment,
                            std::string_view operatorText) {
  json file = parseStartFile(text);
  if (!operatorText.empty()) file = withOperatorKeys(std::move(file), parseOperatorFile(operatorText));
  try {
    return readKeys(file, environment);
  } catch (const json::exception& problem) {
    throw ConfigError(problem.what());
  }
}

DispatcherConfig loadConfig(std::string configPath, const std::string& operatorPath) {
  if (configPath.empty()) configPath = readEnvironment("EDGE_CONFIG");
  if (configPath.empty()) throw ConfigError("no configuration file: give --config or set EDGE_CONFIG");
  const std::string operatorText = operatorPath.empty() ? "" : readFile(operatorPath);
  return readConfig(readFile(configPath), readEnvironment, operatorText);
}

DeploymentSettings deploymentSettings(const DispatcherConfig& config) {
  DeploymentSettings settings = readDeploymentSettings(config.settings);
  settings.zoneFailover =
      readZoneFailoverSettings(config.zoneFailover, readNameTables(config.settings).zones);
  return settings;
}

AdmissionSettings admissionSettings(const DeploymentSettings& settings, std::size_t maxMessageBytes) {
  AdmissionSettings admission;
  admission.maxMessageBytes = maxMessageBytes;
  admission.maxInFlight = settings.maxInFlight;
  admission.mayAdviseRetryAfter = settings.mayAdviseRetryAfter;
  admission.maxRetryAfter = settings.maxRetryAfter;
  admission.maxPriorityWeight = 0;
  for (const TrafficType& type : settings.types)
    admission.maxPriorityWeight = std::max(admission.maxPriorityWeight, type.priorityWeight);
  admission.overQuotaWeightShare = settings.overQuotaWeightShare;
  return admission;
}

sockaddr_in requireAddress(const std::string& text, const char* key) {
  const auto address = parseAddress(text);
  if (!address)
    throw ConfigError(std::string("'") + key +
                      "' must be an IPv4 address with a port, such as 10.0.0.4:6379, but is '" + text + "'");
  return *address;
}

}  // namespace stonewing
