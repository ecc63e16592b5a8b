#pragma once

#include "policy/destination.h"
#include "policy/round_clock.h"
#include "policy/slow_start.h"
#include "settings/deployment_settings.h"

namespace stonewing {

// How soon a message of a destination could be delivered. Times are milliseconds.
struct EarliestDelivery {
  Millis sentAt{0};        // no attempt begins before this time of the policy's clock
  Millis responseTime{0};  // no response has come sooner after its attempt

  Millis answeredAt() const { return sentAt + responseTime; }
};

// Forecasts when messages of a destination can be delivered.
//
// A forecast rests on the endpoints that are listed now, on the waits that their routes are known to keep,
// and on the fastest response of each route. A later endpoint list may add a route that is open, so a
// forecast says what is known and not what will be.
//
// Owns nothing; queries the modules that keep the waits.
class DeliveryForecast {
 public:
  // The referenced objects must outlive the DeliveryForecast.
  DeliveryForecast(const DeploymentSettings& settings, const RoundClock& clock, const SlowStart& slowStart)
      : settings_(settings), clock_(clock), slowStart_(slowStart) {}

  // The earliest possible delivery over all routes of the destination. Without an endpoint it is now, since
  // one may be listed at any time.
  EarliestDelivery earliest(const Destination& destination) const;
  // When the first route of the destination is expected to take a request of any dispatcher: now, or the end
  // of its waits. In an outage it is the next health check, even if one is pending.
  Millis opensAt(const Destination& destination) const;

 private:
  Millis sentAt(const Route& route) const;
  Millis opensAt(const Route& route) const;

  const DeploymentSettings& settings_;
  const RoundClock& clock_;
  const SlowStart& slowStart_;
};

}  // namespace stonewing
