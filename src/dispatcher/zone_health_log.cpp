#include "dispatcher/zone_health_log.h"

#include <cstddef>
#include <cstdint>
#include <utility>

#include "logging/log.h"

namespace stonewing {

void ZoneHealthLog::logChanges(Millis now, const ZoneFailover& zones) {
  if (!zones.isEnabled()) return;
  loggedHealth_.resize(zoneNames_.size(), ZoneHealth::healthy);
  for (std::size_t index = 0; index < loggedHealth_.size(); ++index) {
    const ZoneId zone{static_cast<std::uint8_t>(index)};
    const ZoneHealth health = healthOf(now, zones, zone);
    if (std::exchange(loggedHealth_[index], health) != health) logChange(now, zones, zone, health);
  }
}

ZoneHealthLog::ZoneHealth ZoneHealthLog::healthOf(Millis now, const ZoneFailover& zones, ZoneId zone) {
  if (zones.isLost(zone)) return ZoneHealth::lost;
  if (zones.isRamping(now, zone)) return ZoneHealth::recovering;
  return ZoneHealth::healthy;
}

void ZoneHealthLog::logChange(Millis now, const ZoneFailover& zones, ZoneId zone, ZoneHealth health) const {
  const std::string& name = zoneNames_[zone.value];
  switch (health) {
    case ZoneHealth::lost:
      log::warn("zone.lost", {{"zone", name}});
      break;
    case ZoneHealth::recovering:
      log::warn("zone.recovering",
                {{"zone", name}, {"attempts_per_s", zones.rampAttemptsPerSecond(now, zone)}});
      break;
    case ZoneHealth::healthy:
      log::info("zone.healthy", {{"zone", name}});
      break;
  }
}

}  // namespace stonewing
