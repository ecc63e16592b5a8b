#pragma once

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <vector>

#include "lab/experiment.h"

// Random draws of the testbed. All of them come from std::mt19937 and are computed here, so that a seed
// reproduces a whole run.
namespace stonewing::lab {

// Uniform between 0 and 1, and never 0 or 1.
inline double uniform(std::mt19937& randomEngine) {
  return (static_cast<double>(randomEngine()) + 0.5) / 4294967296.0;
}

inline Millis drawDuration(const DurationDistribution& distribution, std::mt19937& randomEngine) {
  switch (distribution.shape) {
    case DistributionShape::fixed:
      return distribution.median;
    case DistributionShape::lognormal: {
      // Box-Muller transform. std::normal_distribution keeps a second value between calls, so that a draw
      // would depend on more than the state of the engine.
      double radius = std::sqrt(-2 * std::log(uniform(randomEngine)));
      double normal = radius * std::cos(2 * std::numbers::pi * uniform(randomEngine));
      return distribution.median * std::exp(distribution.spread * normal);
    }
    case DistributionShape::pareto: {
      Millis minimum = distribution.median / std::pow(2, 1 / distribution.spread);
      return minimum / std::pow(uniform(randomEngine), 1 / distribution.spread);
    }
  }
  return distribution.median;
}

// The mean of a distribution; for Pareto its exponent (spread) must be larger than 1.
inline Millis meanOf(const DurationDistribution& distribution) {
  switch (distribution.shape) {
    case DistributionShape::lognormal:
      return distribution.median * std::exp(distribution.spread * distribution.spread / 2);
    case DistributionShape::pareto:
      return distribution.median / std::pow(2, 1 / distribution.spread) * distribution.spread /
             (distribution.spread - 1);
    default:
      return distribution.median;
  }
}

// Picks an index from 0 to n-1; index i has the weight (i + 1) to the power of -exponent.
class ZipfDistribution {
 public:
  ZipfDistribution(int n, double exponent) {
    double sum = 0;
    for (int rank = 1; rank <= n; ++rank) cumulativeWeights_.push_back(sum += std::pow(rank, -exponent));
  }
  int pick(std::mt19937& randomEngine) const {
    auto picked = std::upper_bound(cumulativeWeights_.begin(), cumulativeWeights_.end(),
                                   uniform(randomEngine) * cumulativeWeights_.back());
    return static_cast<int>(
        std::min<std::ptrdiff_t>(picked - cumulativeWeights_.begin(), std::ssize(cumulativeWeights_) - 1));
  }

 private:
  std::vector<double> cumulativeWeights_;
};

// The times at which messages are due: a Poisson process with the rate that the experiment demands at that
// time, drawn by thinning a process of the highest rate.
class ArrivalProcess {
 public:
  explicit ArrivalProcess(const Experiment& experiment) : experiment_(experiment) {}
  // The rate of messages at that time.
  double perSecond(Millis at) const {
    const LoadSettings& load = experiment_.load;
    double rate = load.perSecond;
    if (load.arrivals == ArrivalShape::bursts) {
      bool on = std::fmod(at, load.burstDuration + load.burstInterval) >= load.burstInterval;
      rate *= on ? load.burstFactor : 1;
    } else if (load.arrivals == ArrivalShape::ramp) {
      double progress = std::clamp(at / std::max(1.0, experiment_.duration), 0.0, 1.0);
      double up = std::clamp((progress - 0.3) / 0.2, 0.0, 1.0);  // top from 50% to 70% of the run
      double down = std::clamp((progress - 0.7) / 0.2, 0.0, 1.0);
      rate *= 1 + (load.rampFactor - 1) * (up - down);
    }
    return rate * (1 + surgeShare(at));
  }
  // The additional messages of the surging tenant at that time, as a share of the rate without the surge.
  double surgeShare(Millis at) const {
    const LoadSettings& load = experiment_.load;
    bool on = load.surgeTenant >= 0 && at >= load.surgeFrom && at < load.surgeUntil;
    return on ? (load.surgeFactor - 1) / load.tenants : 0;
  }
  // The next arrival after a time. A clump is one arrival of many messages, so arrivals are rarer than
  // messages: without this correction, clumps would raise the rate of messages.
  Millis next(Millis after, std::mt19937& randomEngine) const {
    const LoadSettings& load = experiment_.load;
    double arrivalsPerMessage = 1 - load.groupedShare + load.groupedShare / std::max(1, load.groupSize);
    double maxRate = load.perSecond *
                     std::max(load.arrivals == ArrivalShape::bursts ? load.burstFactor : 1.0,
                              load.arrivals == ArrivalShape::ramp ? load.rampFactor : 1.0) *
                     (load.surgeTenant >= 0 ? 1 + (load.surgeFactor - 1) / load.tenants : 1);
    for (;;) {
      after += -std::log(uniform(randomEngine)) / (maxRate * arrivalsPerMessage) * 1000;
      if (uniform(randomEngine) * maxRate <= perSecond(after)) return after;
    }
  }

 private:
  const Experiment& experiment_;
};

}  // namespace stonewing::lab
