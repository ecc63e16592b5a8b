#pragma once

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace stonewing {

// Milliseconds from the start of an attempt to its successful response.
struct LatencyQuantiles {
  Millis p95{0};
  Millis p50{0};
  Millis fastest{0};
};

// A bounded random sample of latencies and its quantiles. Only LatencyTracker writes it.
class LatencyReservoir {
 public:
  std::size_t size() const { return samples_.size(); }
  const LatencyQuantiles& quantiles() const { return quantiles_; }

 private:
  friend class LatencyTracker;
  std::vector<Millis> samples_;
  LatencyQuantiles quantiles_;
  Millis computedAt_{0};
};

}  // namespace stonewing
