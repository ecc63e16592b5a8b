#pragma once

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <vector>

#include "lab/experiment.h"

// Chance in the laboratory. Everything is drawn from std::mt19937, so that a seed reproduces a whole day.
namespace stonewing::lab {

inline double uniform(std::mt19937& chance) { return (static_cast<double>(chance()) + 0.5) / 4294967296.0; }

inline Millis drawn(const DrawnSpan& span, std::mt19937& chance) {
  switch (span.shape) {
    case Shape::fixed:
      return span.median;
    case Shape::lognormal: {
      // Box and Muller; the library's own distribution keeps a second value between calls.
      double radius = std::sqrt(-2 * std::log(uniform(chance)));
      double normal = radius * std::cos(2 * std::numbers::pi * uniform(chance));
      return span.median * std::exp(span.spread * normal);
    }
    case Shape::pareto: {
      Millis least = span.median / std::pow(2, 1 / span.spread);
      return least / std::pow(uniform(chance), 1 / span.spread);
    }
  }
  return span.median;
}

inline Millis meanOf(const DrawnSpan& span) {
  switch (span.shape) {
    case Shape::lognormal:
      return span.median * std::exp(span.spread * span.spread / 2);
    case Shape::pareto:
      return span.median / std::pow(2, 1 / span.spread) * span.spread / (span.spread - 1);
    default:
      return span.median;
  }
}

// Picks places 0 .. n-1, the one of rank r with a weight of r to the power of minus the exponent.
class Zipf {
 public:
  Zipf(int n, double exponent) {
    double sum = 0;
    for (int rank = 1; rank <= n; ++rank) below_.push_back(sum += std::pow(rank, -exponent));
  }
  int pick(std::mt19937& chance) const {
    auto at = std::upper_bound(below_.begin(), below_.end(), uniform(chance) * below_.back());
    return static_cast<int>(std::min<std::ptrdiff_t>(at - below_.begin(), std::ssize(below_) - 1));
  }

 private:
  std::vector<double> below_;
};

// When messages are due: a Poisson process whose rate follows the plan, by thinning one of the top rate.
class Arrivals {
 public:
  explicit Arrivals(const Plan& plan) : plan_(plan) {}
  double perSecond(Millis at) const {
    const LoadPlan& l = plan_.load;
    double rate = l.perSecond;
    if (l.arrivals == ArrivalShape::bursts) {
      bool on = std::fmod(at, l.burstOn + l.burstOff) >= l.burstOff;
      rate *= on ? l.burstFactor : 1;
    } else if (l.arrivals == ArrivalShape::dusk) {
      double along = std::clamp(at / std::max(1.0, plan_.duration), 0.0, 1.0);
      double up = std::clamp((along - 0.3) / 0.2, 0.0, 1.0);  // level, a ramp, the top, and back
      double down = std::clamp((along - 0.7) / 0.2, 0.0, 1.0);
      rate *= 1 + (l.duskFactor - 1) * (up - down);
    }
    return rate * (1 + surge(at));
  }
  // What the surging tenant adds, of the whole rate.
  double surge(Millis at) const {
    const LoadPlan& l = plan_.load;
    bool on = l.surgeTenant >= 0 && at >= l.surgeFrom && at < l.surgeUntil;
    return on ? (l.surgeFactor - 1) / l.tenants : 0;
  }
  // A clump counts as many times as it is large, so that the rate is that of messages.
  Millis next(Millis after, std::mt19937& chance) const {
    const LoadPlan& l = plan_.load;
    double comings = 1 - l.clumpShare + l.clumpShare / std::max(1, l.clumpSize);
    double top = l.perSecond *
                 std::max(l.arrivals == ArrivalShape::bursts ? l.burstFactor : 1.0,
                          l.arrivals == ArrivalShape::dusk ? l.duskFactor : 1.0) *
                 (l.surgeTenant >= 0 ? 1 + (l.surgeFactor - 1) / l.tenants : 1);
    for (;;) {
      after += -std::log(uniform(chance)) / (top * comings) * 1000;
      if (uniform(chance) * top <= perSecond(after)) return after;
    }
  }

 private:
  const Plan& plan_;
};

}  // namespace stonewing::lab
