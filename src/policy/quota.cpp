#include "policy/quota.h"

#include <algorithm>
#include <utility>

namespace stonewing {
namespace {

constexpr double kBurstSeconds = 2;  // of a tenant's quota that a bucket holds

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
  // Dispatchers carry unequal loads: our part of a quota is an even one, or what came here so far. Messages
  // a millisecond.
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
