#include "dispatcher/config_reloader.h"

#include <exception>
#include <utility>

#include "logging/log.h"

namespace stonewing {

ConfigReloader::ConfigReloader(const DispatcherConfig& started, ConfigSource source,
                               DiscoveryClient& discovery, OutcomeNotifier& notifier)
    : started_(started),
      source_(std::move(source)),
      discovery_(discovery),
      notifier_(notifier),
      discoveryAddress_(started.discovery) {}

void ConfigReloader::reload() {
  if (!source_) return;
  try {
    apply(source_());
  } catch (const std::exception& problem) {
    // The source may throw errors of its own, of files and of JSON; whatever it is, the operator must read it
    // and the dispatcher goes on.
    log::error("configuration.rejected", {{"why", problem.what()}, {"kept", "the old one"}});
  }
}

void ConfigReloader::apply(const DispatcherConfig& config) {
  const sockaddr_in address = requireAddress(config.discovery, "discovery");
  if (needsRestart(config))
    log::warn("configuration.partly_applied", {{"applied", "discovery"}, {"rest", "at the next start"}});
  if (config.discovery == discoveryAddress_) return;
  discoveryAddress_ = config.discovery;
  discovery_.changeAddress(address, config.discovery);
  notifier_.changeAddress(address, config.discovery);
  log::info("discovery.address_changed", {{"address", config.discovery}});
}

bool ConfigReloader::needsRestart(const DispatcherConfig& config) const {
  return config.listen != started_.listen || config.state != started_.state ||
         config.settings != started_.settings || config.zoneFailover != started_.zoneFailover ||
         config.journalWriter != started_.journalWriter;
}

}  // namespace stonewing
