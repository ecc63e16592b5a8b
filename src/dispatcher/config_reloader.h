#pragma once

#include <functional>
#include <string>

#include "delivery/outcome_notifier.h"
#include "discovery/discovery_client.h"
#include "dispatcher/config.h"

namespace stonewing {

// Reads the configuration again and returns it. Throws if it cannot be read or is invalid.
using ConfigSource = std::function<DispatcherConfig()>;

// Applies a changed configuration to a running dispatcher. Only a new address of discovery and of the
// platform takes effect at once. Other changes take effect at the next start; reload() logs a warning for
// those that needsRestart() detects. The objects passed to the constructor by reference must outlive this
// one.
class ConfigReloader {
 public:
  // `startConfig`: the configuration with which the dispatcher was started. With an empty `source`, reload()
  // does nothing.
  ConfigReloader(const DispatcherConfig& startConfig, ConfigSource source, DiscoveryClient& discovery,
                 OutcomeNotifier& notifier);

  // Reads the configuration again. If the address of discovery has changed, the connections to the old
  // address are closed and the new address is polled at once. An invalid configuration is logged and changes
  // nothing.
  void reload();

 private:
  bool needsRestart(const DispatcherConfig& config) const;
  void apply(const DispatcherConfig& config);

  const DispatcherConfig& startConfig_;
  ConfigSource source_;
  DiscoveryClient& discovery_;
  OutcomeNotifier& notifier_;
  std::string discoveryAddress_;  // the address in use
};

}  // namespace stonewing
