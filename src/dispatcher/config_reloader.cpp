#include "dispatcher/config_reloader.h"

#include <exception>
#include <utility>

#include "logging/log.h"

namespace stonewing {

ConfigReloader::ConfigReloader(const DispatcherConfig& startConfig, ConfigSource source,
                               DiscoveryClient& discovery, OutcomeNotifier& notifier)
    : startConfig_(startConfig),
      source_(std::move(source)),
      discovery_(discovery),
      notifier_(notifier),
      discoveryAddress_(startConfig.discoveryAddress) {}

void ConfigReloader::reload() {
  if (!source_) return;
  try {
    apply(source_());
  } catch (const std::exception& problem) {
    // The source may also throw errors of files and of JSON. Each error must be logged for the operator, and
    // none may end the dispatcher.
    log::error("configuration.rejected", {{"why", problem.what()}, {"kept", "the previous configuration"}});
  }
}

void ConfigReloader::apply(const DispatcherConfig& config) {
  const sockaddr_in address = requireAddress(config.discoveryAddress, "discovery");
  if (needsRestart(config))
    log::warn("configuration.partly_applied",
              {{"applied", "discovery"}, {"rest", "takes effect at the next start"}});
  if (config.discoveryAddress == discoveryAddress_) return;
  discoveryAddress_ = config.discoveryAddress;
  discovery_.changeAddress(address, config.discoveryAddress);
  notifier_.changeAddress(address, config.discoveryAddress);
  log::info("discovery.address_changed", {{"address", config.discoveryAddress}});
}

bool ConfigReloader::needsRestart(const DispatcherConfig& config) const {
  return config.listenAddress != startConfig_.listenAddress ||
         config.journalFolder != startConfig_.journalFolder || config.settings != startConfig_.settings ||
         config.zoneFailover != startConfig_.zoneFailover ||
         config.journalWriter != startConfig_.journalWriter;
}

}  // namespace stonewing
