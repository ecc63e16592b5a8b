#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "admission/admission_controller.h"
#include "settings/deployment_settings.h"
#include "storage/journal.h"

// The configuration of one dispatcher, and the functions that read it from the start file, the operator's
// file and the environment. Only their implementation contains the keys of the configuration.
namespace stonewing {

// The configuration with which a dispatcher starts. All members are values; none is a reference.
struct DispatcherConfig {
  std::string name;              // name of this dispatcher in the log; may be empty
  std::string listenAddress;     // address and port for clients, such as "10.0.0.4:6379"
  std::string discoveryAddress;  // address and port of discovery and of the platform
  std::string journalFolder;
  std::uint64_t seed{};           // seed of all random draws
  std::size_t maxDescriptors{};   // descriptors that the process may hold
  std::size_t maxJournalBytes{};  // disk space that the journal may use
  std::size_t maxMemoryBytes{};   // memory that the process may use
  std::string settings;           // settings of the deployment, JSON text (settings/settings_reader.h)
  std::string knownEndpoints;     // endpoint list to start with, in discovery's format; empty for none
  std::string zoneFailover;       // the operator's zone failover settings, JSON text; empty for none
  JournalWriter journalWriter{JournalWriter::callingThread};
};

// Returns the value of an environment variable, or an empty text if it is not set.
using EnvironmentReader = std::function<std::string(const char* variable)>;

// Reads a configuration from the text of the start file (a JSON object). `operatorText` is the text of the
// operator's file (JSON, comments allowed; empty for none): its keys replace those of the start file. For
// some keys that neither file contains, an EDGE_ environment variable is read. Throws ConfigError if the
// configuration is invalid.
DispatcherConfig readConfig(std::string_view text, const EnvironmentReader& environment,
                            std::string_view operatorText = {});

// Reads a configuration from files. An empty `configPath` stands for the file that EDGE_CONFIG names, an
// empty `operatorPath` for no operator's file. Throws ConfigError if a file cannot be read or is invalid.
DispatcherConfig loadConfig(std::string configPath, const std::string& operatorPath);

// The settings of the deployment with those of the operator. Throws SettingsError if they are invalid.
DeploymentSettings deploymentSettings(const DispatcherConfig& config);

// The part of a deployment's settings that admission needs. `maxMessageBytes`: the memory that accepted
// messages may occupy.
AdmissionSettings admissionSettings(const DeploymentSettings& settings, std::size_t maxMessageBytes);

// Parses an IPv4 address with a port. Throws a ConfigError that names `key` if `text` is not one.
sockaddr_in requireAddress(const std::string& text, const char* key);

}  // namespace stonewing
