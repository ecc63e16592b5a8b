#include "lab/run_summary.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace stonewing::lab {
namespace {

namespace bh = boost::histogram;

constexpr Millis kMinDuration = 1e-3;
constexpr Millis kMaxDuration = 8.64e7;

auto logHistogram() {
  return bh::make_histogram(
      bh::axis::regular<double, bh::axis::transform::log>(1280, kMinDuration, kMaxDuration * 1.001));
}
using LogHistogram = decltype(logHistogram());

// Durations from a microsecond to a day, in bins that are two percent wide.
class DurationHistogram {
 public:
  void add(Millis duration) {
    histogram_(std::clamp(duration, kMinDuration, kMaxDuration));
    max_ = std::max(max_, duration);
    ++count_;
  }
  Quantiles quantiles() const { return {count_, at(0.5), at(0.95), at(0.99), at(0.999), max_}; }
  // The quantile of this share, interpolated within its bin.
  Millis at(double share) const {
    if (count_ == 0) return 0;
    double below = 0;
    double wanted = share * static_cast<double>(count_);
    for (auto&& bin : bh::indexed(histogram_)) {
      double inBin = *bin;
      if (inBin > 0 && below + inBin >= wanted) {
        double progress = (wanted - below) / inBin;
        return std::min(max_, bin.bin().lower() + progress * (bin.bin().upper() - bin.bin().lower()));
      }
      below += inBin;
    }
    return max_;
  }

 private:
  LogHistogram histogram_ = logHistogram();
  std::uint64_t count_{0};
  Millis max_{0};
};

constexpr Millis kNever = 1e300;

// Collects the notifications of messages that were shed or failed.
class UndeliveredNotifications {
 public:
  explicit UndeliveredNotifications(std::size_t messageCount) : submissions_(messageCount) {}

  void recordSubmission(const TraceEvent& submitted) {
    submissions_[submitted.message] = {submitted.at, submitted.duration};
  }
  // The first notification of a message counts.
  void recordNotification(const TraceEvent& notified) {
    Submission& submission = submissions_[notified.message];
    if (submission.notifiedAt < kNever) return;
    submission.notifiedAt = notified.at;
    submission.retryAfter = notified.duration;
  }
  // deliveredAt: by the number of the first submission of a message.
  NotificationSummary summarize(const std::vector<SubmittedMessage>& messages,
                                const std::vector<Millis>& deliveredAt) const {
    NotificationSummary summary;
    std::vector<double> timeShares;
    for (std::size_t n = 0; n < submissions_.size(); ++n) {
      const Submission& submission = submissions_[n];
      bool isDelivered = deliveredAt[messages[n].origin] < kNever;
      if (submission.notifiedAt >= kNever || submission.timeLeft <= 0 || isDelivered) continue;
      timeShares.push_back((submission.notifiedAt - submission.at) / submission.timeLeft);
      if (timeShares.back() <= kFirstQuarter) ++summary.inFirstQuarter;
      if (submission.retryAfter > 0) ++summary.withRetryAfter;
    }
    summary.count = timeShares.size();
    if (timeShares.empty()) return summary;
    auto middle = timeShares.begin() + static_cast<std::ptrdiff_t>(timeShares.size() / 2);
    std::nth_element(timeShares.begin(), middle, timeShares.end());
    summary.medianTimeShare = *middle;
    return summary;
  }

 private:
  static constexpr double kFirstQuarter = 0.25;
  struct Submission {
    Millis at{0};
    Millis timeLeft{0};
    Millis notifiedAt{kNever};
    Millis retryAfter{0};
  };
  std::vector<Submission> submissions_;
};

}  // namespace

RunSummary summarize(const Experiment& experiment, const Trace& trace, Millis slice) {
  RunSummary summary;
  auto slices = static_cast<std::size_t>(std::ceil(experiment.end() / slice)) + 1;
  summary.series.resize(slices);
  for (std::size_t n = 0; n < slices; ++n) summary.series[n].startsAt = static_cast<double>(n) * slice;
  auto sliceOf = [&](Millis at) -> RunSummary::Slice& {
    auto n = static_cast<std::size_t>(std::clamp(at / slice, 0.0, static_cast<double>(slices - 1)));
    return summary.series[n];
  };
  std::size_t messageCount = trace.messages.size();
  std::vector<Millis> delivered(messageCount, kNever);  // by origin: when it was first delivered
  std::vector<Millis> submittedAt(messageCount, kNever);
  std::vector<bool> attempted(messageCount, false);
  std::vector<bool> accepted(messageCount, false);
  UndeliveredNotifications undelivered(messageCount);
  DurationHistogram responseLatency;
  for (const TraceEvent& e : trace.events) {
    bool hasMessage = e.message < messageCount;
    switch (e.type) {
      case TraceEventType::submitted:
        if (hasMessage) submittedAt[e.message] = e.at;
        if (hasMessage) undelivered.recordSubmission(e);
        break;
      case TraceEventType::accepted:
      case TraceEventType::rejected:
        if (hasMessage && submittedAt[e.message] < kNever) responseLatency.add(e.at - submittedAt[e.message]);
        if (hasMessage && e.type == TraceEventType::accepted) accepted[e.message] = true;
        if (e.type == TraceEventType::rejected) ++summary.rejected, ++sliceOf(e.at).rejected;
        break;
      case TraceEventType::unanswered:
        ++summary.unanswered;
        break;
      case TraceEventType::arrived:
        ++summary.attempts;
        ++sliceOf(e.at).attempts;
        if (hasMessage && attempted[e.message]) ++summary.repeatedAttempts;
        if (hasMessage) attempted[e.message] = true;
        break;
      case TraceEventType::responded:
        if (hasMessage && (e.status == 200 || e.status == 3)) {
          Millis& first = delivered[trace.messages[e.message].origin];
          first = std::min(first, e.at);
        }
        break;
      case TraceEventType::healthChecked:
        ++summary.healthChecks;
        break;
      case TraceEventType::notificationReceived:
        ++(e.status == 2 ? summary.shed : summary.failed);
        ++sliceOf(e.at).ended;
        if (hasMessage) undelivered.recordNotification(e);
        break;
      default:
        break;
    }
  }
  summary.responseLatency = responseLatency.quantiles();
  summary.notifications = undelivered.summarize(trace.messages, delivered);
  DurationHistogram deliveryLatency;
  std::vector<DurationHistogram> each(0);
  std::vector<std::vector<Millis>> latenciesBySlice(slices);
  for (std::uint32_t c = 0; c < messageCount; ++c) {
    const SubmittedMessage& message = trace.messages[c];
    if (message.origin != c) {
      ++summary.resubmissions;
      continue;
    }
    const TrafficType& type = experiment.types[message.type].settings;
    ++summary.due;
    summary.dueWeight += type.priorityWeight;
    RunSummary::Slice& s = sliceOf(message.due);
    ++s.due;
    s.dueWeight += type.priorityWeight;
    Millis latency = delivered[c] - message.due;
    if (latency > type.deadlineAfter) continue;
    ++summary.completed;
    ++s.completed;
    double weight =
        type.priorityWeight * type.weightShareAt(latency - type.latencyObjective, WeightDecay::linear);
    summary.deliveredWeight += weight;
    s.deliveredWeight += weight;
    if (latency <= type.latencyObjective) ++summary.withinObjective;
    deliveryLatency.add(std::max(0.0, latency));
    latenciesBySlice[static_cast<std::size_t>(&s - summary.series.data())].push_back(latency);
  }
  for (std::size_t n = 0; n < slices; ++n) {
    auto& latencies = latenciesBySlice[n];
    if (latencies.empty()) continue;
    std::sort(latencies.begin(), latencies.end());
    auto quantile = [&](double share) {
      return latencies[static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1))];
    };
    summary.series[n].p50 = quantile(0.5);
    summary.series[n].p99 = quantile(0.99);
  }
  summary.deliveryLatency = deliveryLatency.quantiles();
  return summary;
}

std::vector<std::uint64_t> arrivalsPerSlice(const Experiment& experiment, const Trace& trace,
                                            const std::vector<int>& endpoints, Millis slice) {
  std::vector<bool> wanted(static_cast<std::size_t>(experiment.endpointCount()), false);
  for (int e : endpoints) wanted[static_cast<std::size_t>(e)] = true;
  std::vector<std::uint64_t> counts(static_cast<std::size_t>(std::ceil(experiment.end() / slice)) + 1, 0);
  for (const TraceEvent& e : trace.events) {
    if (e.type != TraceEventType::arrived || e.endpoint >= wanted.size() || !wanted[e.endpoint]) continue;
    auto n = static_cast<std::size_t>(std::max(0.0, e.at / slice));
    if (n < counts.size()) ++counts[n];
  }
  return counts;
}

}  // namespace stonewing::lab
