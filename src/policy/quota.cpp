#include "policy/quota.h"

#include <algorithm>
#include <utility>

namespace stonewing {
namespace {

constexpr double kBurstSeconds = 2;  // a bucket holds the quota of this many seconds

}  // namespace

Quota::Quota(const DeploymentSettings& settings, const RoundClock& clock)
    : settings_(settings), clock_(clock) {
  for (double quota : settings_.tenantQuotaPerSecond)
    buckets_.push_back({std::max(1.0, kBurstSeconds * quota / settings_.dispatcherCount)});
}

bool Quota::isOver(TenantId tenant) const {
  return tenant.value < buckets_.size() && buckets_[tenant.value].tokens < 1;
}

bool Quota::recordAccepted(TenantId tenant) {
  if (tenant.value >= buckets_.size()) return false;
  Bucket& bucket = buckets_[tenant.value];
  // The tenant's rate at this dispatcher, in messages per millisecond: an even share of the quota or, if
  // higher, the average rate accepted here so far, since dispatchers carry unequal loads.
  double evenRate = settings_.tenantQuotaPerSecond[tenant.value] / settings_.dispatcherCount / 1000;
  double acceptedRate = ++bucket.acceptedCount / std::max(settings_.slowStartDuration, clock_.uptime());
  double rate = std::max(evenRate, acceptedRate);
  Millis elapsed = clock_.now() - std::exchange(bucket.refilledAt, clock_.now());
  bucket.tokens = std::min(std::max(1.0, rate * kBurstSeconds * 1000), bucket.tokens + rate * elapsed);
  bool isOverQuota = bucket.tokens < 1;
  if (!isOverQuota) bucket.tokens -= 1;
  return isOverQuota;
}

}  // namespace stonewing
