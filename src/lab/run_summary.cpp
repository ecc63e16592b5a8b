#include "lab/run_summary.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace stonewing::lab {
namespace {

namespace bh = boost::histogram;

constexpr Millis kLeast = 1e-3;
constexpr Millis kMost = 8.64e7;

auto logHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(1280, kLeast, kMost * 1.001));
}
using LogHistogram = decltype(logHistogram());

// Spans from a microsecond to a day, two percent apart.
class Spans {
 public:
  void add(Millis span) {
    histogram_(std::clamp(span, kLeast, kMost));
    most_ = std::max(most_, span);
    ++count_;
  }
  Quantiles quantiles() const { return {count_, at(0.5), at(0.95), at(0.99), at(0.999), most_}; }
  Millis at(double share) const {
    if (count_ == 0) return 0;
    double below = 0;
    double wanted = share * static_cast<double>(count_);
    for (auto&& bin : bh::indexed(histogram_)) {
      double here = *bin;
      if (here > 0 && below + here >= wanted) {
        double along = (wanted - below) / here;
        return std::min(most_, bin.bin().lower() + along * (bin.bin().upper() - bin.bin().lower()));
      }
      below += here;
    }
    return most_;
  }

 private:
  LogHistogram histogram_ = logHistogram();
  std::uint64_t count_{0};
  Millis most_{0};
};

}  // namespace

Tally tally(const Experiment& experiment, const Trace& trace, Millis slice) {
  Tally t;
  auto slices = static_cast<std::size_t>(std::ceil(experiment.end() / slice)) + 1;
  t.series.resize(slices);
  for (std::size_t n = 0; n < slices; ++n) t.series[n].from = static_cast<double>(n) * slice;
  auto sliceOf = [&](Millis at) -> Tally::Slice& {
    auto n = static_cast<std::size_t>(std::clamp(at / slice, 0.0, static_cast<double>(slices - 1)));
    return t.series[n];
  };
  constexpr Millis kNever = 1e300;
  std::size_t callbacks = trace.callbacks.size();
  std::vector<Millis> delivered(callbacks, kNever);  // by origin
  std::vector<Millis> handed(callbacks, kNever);
  std::vector<bool> launched(callbacks, false);
  std::vector<bool> taken(callbacks, false);
  Spans answers;
  for (const Event& e : trace.events) {
    bool known = e.callback < callbacks;
    switch (e.what) {
      case What::handedIn:
        if (known) handed[e.callback] = e.at;
        break;
      case What::taken:
      case What::busy:
        if (known && handed[e.callback] < kNever) answers.add(e.at - handed[e.callback]);
        if (known && e.what == What::taken) taken[e.callback] = true;
        if (e.what == What::busy) ++t.refused, ++sliceOf(e.at).refused;
        break;
      case What::unanswered:
        ++t.unanswered;
        break;
      case What::arrived:
        ++t.launches;
        ++sliceOf(e.at).launches;
        if (known && launched[e.callback]) ++t.secondLaunches;
        if (known) launched[e.callback] = true;
        break;
      case What::replied:
        if (known && (e.status == 200 || e.status == 3)) {
          Millis& first = delivered[trace.callbacks[e.callback].origin];
          first = std::min(first, e.at);
        }
        break;
      case What::probed:
        ++t.probes;
        break;
      case What::noticed:
        ++(e.status == 2 ? t.shed : t.givenUp);
        ++sliceOf(e.at).ended;
        break;
      default:
        break;
    }
  }
  t.answers = answers.quantiles();
  Spans all;
  std::vector<Spans> each(0);
  std::vector<std::vector<Millis>> bySlice(slices);
  for (std::uint32_t c = 0; c < callbacks; ++c) {
    const Handed& h = trace.callbacks[c];
    if (h.origin != c) continue;
    const TrafficType& type = experiment.types[h.type].settings;
    ++t.due;
    t.gainDue += type.priorityWeight;
    Tally::Slice& s = sliceOf(h.due);
    ++s.due;
    s.gainDue += type.priorityWeight;
    Millis span = delivered[c] - h.due;
    if (span > type.deadlineAfter) continue;
    ++t.completed;
    ++s.completed;
    double gain = type.priorityWeight * type.weightShareAt(span - type.latencyObjective, WeightDecay::linear);
    t.gain += gain;
    s.gain += gain;
    if (span <= type.latencyObjective) ++t.inTime;
    all.add(std::max(0.0, span));
    bySlice[static_cast<std::size_t>(&s - t.series.data())].push_back(span);
  }
  for (std::size_t n = 0; n < slices; ++n) {
    auto& spans = bySlice[n];
    if (spans.empty()) continue;
    std::sort(spans.begin(), spans.end());
    auto place = [&](double share) {
      return spans[static_cast<std::size_t>(share * static_cast<double>(spans.size() - 1))];
    };
    t.series[n].p50 = place(0.5);
    t.series[n].p99 = place(0.99);
  }
  t.delivery = all.quantiles();
  return t;
}

std::vector<std::uint64_t> arrivalsPerSlice(const Experiment& experiment, const Trace& trace,
                                            const std::vector<int>& endpoints, Millis slice) {
  std::vector<bool> wanted(static_cast<std::size_t>(experiment.endpointCount()), false);
  for (int e : endpoints) wanted[static_cast<std::size_t>(e)] = true;
  std::vector<std::uint64_t> counts(static_cast<std::size_t>(std::ceil(experiment.end() / slice)) + 1, 0);
  for (const Event& e : trace.events) {
    if (e.what != What::arrived || e.endpoint >= wanted.size() || !wanted[e.endpoint]) continue;
    auto n = static_cast<std::size_t>(std::max(0.0, e.at / slice));
    if (n < counts.size()) ++counts[n];
  }
  return counts;
}

}  // namespace stonewing::lab
