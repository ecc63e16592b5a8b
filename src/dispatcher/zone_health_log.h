#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "policy/zone_failover.h"

namespace stonewing {

// Logs each change of a zone's health as zone failover judges it. Logs nothing if zone failover is off.
class ZoneHealthLog {
 public:
  // `zoneNames`: by zone id; the vector must outlive this object.
  explicit ZoneHealthLog(const std::vector<std::string>& zoneNames) : zoneNames_(zoneNames) {}

  // Logs the zones whose health has changed since the last call. `now`: milliseconds of the policy's clock.
  void logChanges(Millis now, const ZoneFailover& zones);

 private:
  enum class ZoneHealth { healthy, lost, recovering };
  static ZoneHealth healthOf(Millis now, const ZoneFailover& zones, ZoneId zone);
  void logChange(Millis now, const ZoneFailover& zones, ZoneId zone, ZoneHealth health) const;

  const std::vector<std::string>& zoneNames_;
  std::vector<ZoneHealth> loggedHealth_;  // by zone id
};

}  // namespace stonewing
