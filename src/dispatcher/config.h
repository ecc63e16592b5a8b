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

// The configuration of one dispatcher: what it consists of, and how it is read from the start file, the
// operator's file and the environment. The spelling of its keys is known here only.
namespace stonewing {

// What a dispatcher is configured with at its start. Plain values; nothing in it refers to anything else.
struct DispatcherConfig {
  std::string name;           // of this dispatcher, for the log; may be empty
  std::string listen;         // address and port for clients, such as "10.0.0.4:6379"
  std::string discovery;      // address and port of discovery and of the platform
  std::string state;          // folder of the journal
  std::uint64_t seed{};       // of all random draws
  std::size_t sockets{};      // descriptors that the process may hold
  std::size_t diskBytes{};    // that the journal may take
  std::size_t memoryBytes{};  // that the process may take
  std::string settings;       // of the deployment, JSON text (settings/settings_reader.h)
  std::string known;          // endpoint list to start from, in discovery's format; empty for none
  std::string zoneFailover;   // the operator's zone failover settings, JSON text; empty for none
  JournalWriter journalWriter{JournalWriter::callingThread};
};

// Looks up a variable of the environment; returns an empty text where it is not set.
using EnvironmentReader = std::function<std::string(const char* variable)>;

// Reads a configuration from the text of the start file (a JSON object). `operatorText` is the text of the
// operator's file (JSON, comments allowed; empty for none): its keys replace those of the start file. What
// neither file states is taken from EDGE_ variables. Throws ConfigError with what is wrong.
DispatcherConfig readConfig(std::string_view text, const EnvironmentReader& environment,
                            std::string_view operatorText = {});

// Reads a configuration from files. An empty `configPath` stands for the file that EDGE_CONFIG names, an
// empty `operatorPath` for no operator's file. Throws ConfigError where a file cannot be read or used.
DispatcherConfig loadConfig(std::string configPath, const std::string& operatorPath);

// What the deployment and the operator state together. Throws SettingsError where it cannot be used.
DeploymentSettings deploymentSettings(const DispatcherConfig& config);

// The part of a deployment's settings that admission needs.
AdmissionSettings admissionSettings(const DeploymentSettings& settings);

// Reads an IPv4 address with a port. Throws ConfigError, naming `key`, where the text is none.
sockaddr_in requireAddress(const std::string& text, const char* key);

}  // namespace stonewing
