#pragma once

#include <functional>
#include <string>

#include "delivery/outcome_notifier.h"
#include "discovery/discovery_client.h"
#include "dispatcher/config.h"

namespace stonewing {

// Reads the configuration again and returns it. Throws where it cannot be read or used.
using ConfigSource = std::function<DispatcherConfig()>;

// Applies a changed configuration to a dispatcher that runs. Discovery and the platform may have moved; all
// else takes effect at the next start, and the log says so. The references must outlive this object.
class ConfigReloader {
 public:
  // `started`: what the dispatcher was started with. An empty `source` makes reload() do nothing.
  ConfigReloader(const DispatcherConfig& started, ConfigSource source, DiscoveryClient& discovery,
                 OutcomeNotifier& notifier);

  // Reads the configuration anew. Connections to the old address close, and the new one is polled at once. A
  // configuration that cannot be used is logged and changes nothing.
  void reload();

 private:
  bool needsRestart(const DispatcherConfig& config) const;
  void apply(const DispatcherConfig& config);

  const DispatcherConfig& started_;
  ConfigSource source_;
  DiscoveryClient& discovery_;
  OutcomeNotifier& notifier_;
  std::string discoveryAddress_;  // the one in use
};

}  // namespace stonewing
