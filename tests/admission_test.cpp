// Our own overload: what is turned away and when, and the lines in which messages wait.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "admission/admission_controller.h"
#include "bench_free.h"
#include "policy/wait_queue.h"

namespace stonewing::testing {
namespace {

AdmissionSettings admissionTerms() {
  AdmissionSettings t;
  t.maxInFlight = 100;
  t.mayAdviseRetryAfter = true;
  t.maxRetryAfter = 2000;
  t.maxPriorityWeight = 2;
  t.overQuotaWeightShare = 0.05;
  return t;
}

TEST(Admission, TakesAllWhileNothingPresses) {
  AdmissionController a(admissionTerms(), 1);
  for (int n = 0; n < 50; ++n) a.recordTurn(n, 5);
  EXPECT_TRUE(a.decide({50, 99, 0.5}, 0.01, true).accepted);
  EXPECT_FALSE(a.decide({50, 100, 0.5}, 2, false).accepted);
}

// Danger: a loop that is behind answers everybody too late; then they all hand in again, and it stays behind.
TEST(Admission, TurnsAwayWhatIsWorthLeastFirstWhileTheLoopIsBehindAndStopsSoonAfter) {
  AdmissionController a(admissionTerms(), 1);
  a.recordTurn(1000, 30);
  EXPECT_FALSE(a.decide({1000, 10, 0}, 2, true).accepted);
  EXPECT_FALSE(a.decide({1000, 10, 0}, 0.5, false).accepted);
  EXPECT_TRUE(a.decide({1000, 10, 0}, 1, false).accepted);
  EXPECT_TRUE(a.decide({1000, 10, 0}, 2, false).accepted);
  a.recordTurn(1060, 100);
  EXPECT_FALSE(a.decide({1060, 10, 0}, 2, false).accepted);
  for (int n = 1; n <= 8; ++n) a.recordTurn(1060 + n, 2);
  EXPECT_TRUE(a.decide({1070, 10, 0}, 0.01, true).accepted);
  a.recordTurn(1100, 500);
  EXPECT_TRUE(a.decide({9000, 10, 0}, 0.01, true).accepted);  // a rest ends it too
}

// Danger: a turn that reads a surge is over before anybody knows that it was long.
TEST(Admission, TurnsAwayInTheVeryTurnThatGrowsLong) {
  AdmissionController a(admissionTerms(), 1);
  EXPECT_TRUE(a.decide({1000, 10, 0, 0, 15}, 0.01, true).accepted);
  EXPECT_FALSE(a.decide({1000, 10, 0, 0, 30}, 0.5, false).accepted);
  EXPECT_TRUE(a.decide({1000, 10, 0, 0, 30}, 2, false).accepted);
  EXPECT_FALSE(a.decide({1000, 10, 0, 0, 60}, 2, false).accepted);
}

// Danger: with a folder that hangs nothing ends, and an advice by the rate of ends keeps clients away for
// seconds from other dispatchers that could take what they have.
TEST(Admission, AFolderThatHangsRefusesAllSoonAndSendsNobodyFarAway) {
  AdmissionController a(admissionTerms(), 1);
  EXPECT_TRUE(a.decide({1000, 10, 0, 10}, 0.01, true).accepted);
  AdmissionDecision soon = a.decide({1000, 10, 0, 100}, 2, false);
  EXPECT_FALSE(soon.accepted);
  EXPECT_LE(soon.retryAfter, 150);
  for (int n = 0; n < 50; ++n) EXPECT_LE(a.decide({5000, 10, 0, 3000}, 2, false).retryAfter, 600);
}

TEST(Admission, AJournalThatFillsUpKeepsTheRestForWhatIsWorthMore) {
  AdmissionController a(admissionTerms(), 1);
  EXPECT_TRUE(a.decide({0, 10, 0.9}, 0.01, true).accepted);
  EXPECT_FALSE(a.decide({0, 10, 0.95}, 0.9, false).accepted);
  EXPECT_TRUE(a.decide({0, 10, 0.95}, 2, false).accepted);
  EXPECT_FALSE(a.decide({0, 10, 1}, 2, false).accepted);
}

// Danger: told one and the same time, all who were refused come back in one moment.
TEST(Admission, TellsTimesThatLieApartAndFollowTheRateOfEnds) {
  AdmissionController a(admissionTerms(), 1);
  for (int n = 0; n < 100; ++n) a.recordFinished(n * 10.0);  // a hundred a second
  std::set<int> told;
  Millis first = 0, last = 0;
  for (int n = 0; n < 40; ++n) {
    last = a.decide({1000, 100, 0}, 2, false).retryAfter;
    if (n == 0) first = last;
    told.insert(static_cast<int>(last));
    EXPECT_GE(last, 20);
    EXPECT_LE(last, 2000);
  }
  EXPECT_GT(told.size(), 25u);
  EXPECT_GT(last, 3 * first);
  AdmissionSettings quiet = admissionTerms();
  quiet.mayAdviseRetryAfter = false;
  EXPECT_EQ(AdmissionController(quiet, 1).decide({0, 100, 0}, 2, false).retryAfter, 0);
}

RC_GTEST_PROP(Admission, NeverTakesWhatIsWorthLessThanWhatItRefuses,
              (std::uint16_t work, std::uint16_t full)) {
  AdmissionController a(admissionTerms(), 7);
  a.recordTurn(10, work % 150);
  AdmissionInputs facts{10, 50, (full % 110) / 100.0};
  bool refusedMore = false;
  for (double gain = 2; gain > 0; gain -= 0.1) {
    bool take = a.decide(facts, gain, false).accepted;
    RC_ASSERT(!(refusedMore && take));
    refusedMore = refusedMore || !take;
  }
}

// A line finds the same messages beside an deadline as a walk over all of it.
RC_GTEST_PROP(Waiting, FindsWhatStandsBesideALimit, (std::vector<std::uint8_t> limits, std::uint8_t asked)) {
  WaitQueue waiting;
  WaitClass kind{TrafficTypeId{1}, false, false};
  std::set<std::pair<Millis, MessageId>> plain;
  for (std::uint32_t n = 0; n < limits.size(); ++n) {
    Millis limit = limits[n] % 16;
    if (n % 5 == 4) {
      waiting.remove(kind, limits[n - 1] % 16, MessageId{n - 1});
      plain.erase({limits[n - 1] % 16, MessageId{n - 1}});
    }
    waiting.add(kind, limit, MessageId{n});
    plain.insert({limit, MessageId{n}});
  }
  RC_ASSERT(waiting.empty() == plain.empty());
  if (plain.empty()) return;
  std::vector<MessageId> found, expected{plain.begin()->second};
  WaitQueue::visitAround(waiting.lists().at(kind), {Millis(asked % 16)},
                         [&](MessageId id) { found.push_back(id); });
  const std::pair<Millis, MessageId>*after = nullptr, *before = nullptr;
  for (const auto& entry : plain) {
    if (entry.first >= asked % 16 && after == nullptr) after = &entry;
    if (entry.first < asked % 16 && (before == nullptr || entry.first > before->first)) before = &entry;
  }
  if (after != nullptr) expected.push_back(after->second);
  if (before != nullptr) expected.push_back(before->second);
  RC_ASSERT(found == expected);
}

// The choice among those that wait is the one that a walk over all of them makes.
RC_GTEST_PROP(Waiting, TheMostUrgentIsFoundWithoutAWalk, (std::uint32_t seed)) {
  std::mt19937 chance(seed);
  DeploymentSettings terms = plainTerms();
  terms.decay = chance() % 2 == 0 ? WeightDecay::linear : WeightDecay::halving;
  terms.types = {trafficType(Idempotency::idempotent), trafficType(Idempotency::idempotentWithKey)};
  terms.types[1].priorityWeight = 1.7;
  terms.types[1].latencyObjective = 600;
  terms.types[0].lateWeightShare = chance() % 3 == 0 ? 0 : 0.3;
  terms.maxConcurrentRequests = 1;
  Bed bed(terms);
  std::map<std::uint32_t, std::pair<std::uint16_t, Millis>> waits;
  for (std::uint32_t id = 1; id <= 40; ++id) {
    Millis outer = bed.now + 20 + chance() % 10000;
    auto type = static_cast<std::uint16_t>(chance() % 2);
    bed.rules.acceptMessage(MessageId{id}, TrafficTypeId{type}, TenantId{0}, OrderingKey{0}, DestinationId{1},
                            outer);
    waits[id] = {type, outer};
  }
  auto launches = bed.pull<SendAttempt>();
  RC_ASSERT(launches.size() == 1u);
  auto urgency = [&](std::uint32_t id) {
    auto [type, outer] = waits.at(id);
    const TrafficType& t = terms.types[type];
    Millis latency = t.latencyObjective * 0.6 / 2;  // nothing was measured yet
    auto gainAt = [&](Millis at) {
      return at > outer
                 ? 0
                 : t.priorityWeight *
                       t.weightShareAt(at - (outer - t.deadlineAfter) - t.latencyObjective, terms.decay);
    };
    Millis from = bed.now + latency;
    return (gainAt(from) - gainAt(from + 0.5 * t.latencyObjective)) / std::max(1.0, latency);
  };
  double chosen = urgency(launches[0].message.value);
  for (const auto& [id, w] : waits) RC_ASSERT(urgency(id) <= chosen + 1e-9);
}

// Danger: the worse it gets outside, the slower we become. The cost of a decision must not grow with what is
// held.
TEST(Passes, CostByWhatIsDueAndNotByWhatIsHeld) {
  auto spent = [](int held) {
    DeploymentSettings terms = plainTerms();
    terms.maxConcurrentRequests = 20;
    terms.maxInFlight = 100000;
    Bed bed(terms);
    for (int n = 0; n < held; ++n) bed.take(static_cast<std::uint32_t>(n + 1));
    bed.pull<SendAttempt>();
    auto began = std::chrono::steady_clock::now();
    for (int n = 0; n < 300; ++n) {
      bed.to(bed.now + 0.01);
      bed.pull<SendAttempt>();
    }
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  };
  double few = spent(200);
  double many = spent(20000);
  EXPECT_LT(many, 20 * few + 0.01);  // a walk costs a hundred times as much
}

// Every field of one decision, to compare it by.
auto fields(const SendAttempt& d) { return std::tuple(d.message, d.endpoint, d.attempt, d.timeout); }
auto fields(const CancelAttempt& d) { return std::tuple(d.message, d.attempt); }
auto fields(const ShedMessage& d) { return std::tuple(d.message, d.retryAfter); }
auto fields(const FailMessage& d) { return std::tuple(d.message); }
auto fields(const SendHealthCheck& d) { return std::tuple(d.endpoint); }
auto fields(const CloseIdleConnection& d) { return std::tuple(d.endpoint); }
auto fields(const SetTimer& d) { return std::tuple(d.at); }

bool sameDecision(const Decision& one, const Decision& other) {
  return std::visit(
      []<class One, class Other>(const One& left, const Other& right) {
        if constexpr (std::is_same_v<One, Other>) {
          return fields(left) == fields(right);
        } else {
          return false;
        }
      },
      one, other);
}

// Danger: an attempt that is out and passed over is hedged or called off too late, or its silence never seen.
// The same day is played beside it with an empty part of a list in each round, which has all walked anew.
RC_GTEST_PROP(Passes, DecideTheSameWhereNothingIsWalked, (std::uint32_t seed)) {
  std::mt19937 chance(seed);
  DeploymentSettings terms =
      plainTerms(chance() % 2 == 0 ? Idempotency::idempotent : Idempotency::idempotentWithKey);
  terms.mayHealthCheck = chance() % 3 != 0;
  terms.kinds[0].maxBatchSize = chance() % 4 == 0 ? 4 : 1;
  terms.maxConcurrentRequests = 4 + static_cast<int>(chance() % 12);
  terms.types[0].deadlineAfter = 4000;
  Bed quiet(terms, 1 + seed % 3), walked(terms, 1 + seed % 3);
  auto both = [&](auto what) { what(quiet), what(walked); };
  both([](Bed& bed) { bed.warm(40); });
  std::multimap<Millis, std::function<void(Bed&)>> due;
  std::uint32_t id = 1;
  bool ill = false;
  // But for the alarms: the list has probes asked for anew too.
  auto next = [](Bed& bed) {
    auto d = bed.rules.nextDecision();
    while (d && std::holds_alternative<SetTimer>(*d)) d = bed.rules.nextDecision();
    return d;
  };
  for (int round = 0; round < 400; ++round) {
    Millis now = quiet.now + 1 + chance() % 40;
    both([&](Bed& bed) { bed.to(now); });
    walked.rules.beginEndpointList();
    walked.rules.commitEndpointList(false);
    if (chance() % 60 == 0) ill = !ill;
    for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin())) both(due.begin()->second);
    for (std::uint32_t n = chance() % 3; n > 0 && quiet.rules.state().messagesInFlight < 60; --n, ++id) {
      both([&](Bed& bed) { bed.take(id); });
    }
    for (auto d = next(quiet); d; d = next(quiet)) {
      auto other = next(walked);
      RC_ASSERT(other && sameDecision(*d, *other));
      if (const auto* cancel = std::get_if<CancelAttempt>(&*d))
        both([&](Bed& bed) { bed.end(*cancel, AttemptOutcome::cancelled); });
      if (const auto* check = std::get_if<SendHealthCheck>(&*d))
        due.emplace(now + 30, [e = check->endpoint, ill](Bed& bed) {
          bed.rules.recordHealthCheckOutcome(e, ill ? AttemptOutcome::timeout : AttemptOutcome::completed,
                                             {});
        });
      const auto* send = std::get_if<SendAttempt>(&*d);
      if (send == nullptr || (ill && chance() % 8 != 0)) continue;
      AttemptOutcome ending = chance() % 10 == 0 ? AttemptOutcome::error : AttemptOutcome::completed;
      due.emplace(now + 20 + chance() % 200, [l = *send, ending](Bed& bed) { bed.end(l, ending); });
    }
    RC_ASSERT(!next(walked).has_value());
  }
}

}  // namespace
}  // namespace stonewing::testing
