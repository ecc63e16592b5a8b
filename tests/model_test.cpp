// A slow, plain model of the rules beside the module, on generated days. The model keeps all that happened
// and judges each decision by going through it from the start.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>

#include "bench_free.h"

namespace stonewing::testing {
namespace {

const bool seeded = setenv("RC_PARAMS", "seed=4711 max_success=150", 1) == 0;

struct Sent {
  SendAttempt what;
  Millis at;
  bool out = true;
  bool proven = false;  // known not to have run
  bool mayRunOn = false;
  Millis endedAt = 0;
};
struct Taken {
  TrafficType type;
  std::uint64_t key;
  Millis outerLimit;
  int finals = 0;
  std::vector<Sent> sent;
};
struct Model {
  DeploymentSettings terms;
  std::map<std::uint32_t, Taken> all;  // ids rise in the order of taking
  std::map<EndpointId, std::pair<EndpointState, std::uint8_t>> list;
  std::map<std::uint64_t, Millis> waitUntil;

  std::uint64_t path(EndpointId e) const { return terms.kinds[0].routesApart ? e.value : 0; }
  static bool mayHaveRun(const Sent& s) { return s.out || !s.proven; }
  bool repeatHarmless(const Taken& c, const EndpointId* to, Millis now) const {
    if (c.type.idempotency == Idempotency::idempotent) return true;
    for (const Sent& s : c.sent) {
      if (!mayHaveRun(s)) continue;
      if (c.type.idempotency == Idempotency::nonIdempotent || now > s.at + c.type.deduplicationWindow)
        return false;
      if (c.type.deduplicationScope == DeduplicationScope::zone &&
          (to == nullptr || list.at(*to).second != list.at(s.what.endpoint).second))
        return false;
    }
    return true;
  }
  bool keyFree(std::uint32_t id, Millis now) const {
    const Taken& c = all.at(id);
    if (!c.type.ordered || c.key == 0 || !c.sent.empty()) return true;
    for (const auto& [other, o] : all) {
      if (o.key != c.key || !o.type.ordered || other == id) continue;
      for (const Sent& s : o.sent) {
        if (s.mayRunOn && now < s.endedAt + terms.orderingPause) return false;
        if (other < id && s.out) return false;
      }
      if (other < id && o.finals == 0) return false;
    }
    return true;
  }
  void judge(const Decision& d, Millis now) {
    if (const auto* timer = std::get_if<SetTimer>(&d)) RC_ASSERT(timer->at > now);
    if (const auto* shed = std::get_if<ShedMessage>(&d)) {
      RC_ASSERT(repeatHarmless(all.at(shed->message.value), nullptr, now));
      judgeFinal(shed->message);
    }
    if (const auto* fail = std::get_if<FailMessage>(&d)) judgeFinal(fail->message);
    if (const auto* send = std::get_if<SendAttempt>(&d)) judgeAttempt(*send, now);
  }
  void judgeFinal(MessageId message) {
    Taken& c = all.at(message.value);
    RC_ASSERT(c.finals == 0);
    ++c.finals;
  }
  void judgeAttempt(const SendAttempt& d, Millis now) {
    Taken& c = all.at(d.message.value);
    RC_ASSERT(c.finals == 0);
    RC_ASSERT(now < c.outerLimit);
    RC_ASSERT(list.at(d.endpoint).first == EndpointState::ready);
    RC_ASSERT(now >= waitUntil[path(d.endpoint)]);
    RC_ASSERT(repeatHarmless(c, &d.endpoint, now));
    RC_ASSERT(keyFree(d.message.value, now));
    RC_ASSERT(static_cast<int>(c.sent.size()) < terms.maxAttempts);
    int out = 0;
    for (const Sent& s : c.sent) {
      out += s.out;
      RC_ASSERT(!s.out || !(s.what.endpoint == d.endpoint));
    }
    RC_ASSERT(out <= 1);
    c.sent.push_back({d, now});
    int calls = 0;
    for (const auto& [id, t] : all) {
      for (const Sent& s : t.sent) calls += s.out;
    }
    RC_ASSERT(calls <= std::max(1, terms.maxConcurrentRequests * 3 / 4));
  }
};

TEST(ModelAndModule, AgreeOnWhatIsAllowed) {
  ASSERT_TRUE(seeded);
  EXPECT_TRUE(rc::check([] {
    Model model;
    model.terms = plainTerms();
    DeploymentSettings& terms = model.terms;
    terms.types = {trafficType(Idempotency::idempotent), trafficType(Idempotency::idempotentWithKey),
                   trafficType(Idempotency::nonIdempotent)};
    for (TrafficType& t : terms.types) t.ordered = *rc::gen::arbitrary<bool>();
    terms.types[1].deduplicationScope =
        *rc::gen::arbitrary<bool>() ? DeduplicationScope::zone : DeduplicationScope::destination;
    terms.kinds[0].routesApart = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) terms.zoneFailover.priorities = {{ZoneId{0}}, {ZoneId{1}}};
    terms.zoneFailover.spilloverRequestShare = 0.5;
    terms.maxConcurrentRequests = *rc::gen::inRange(1, 12);
    terms.maxInFlight = *rc::gen::inRange(2, 30);
    terms.mayHedge = *rc::gen::arbitrary<bool>();
    terms.mayCancel = *rc::gen::arbitrary<bool>();
    terms.mayHealthCheck = *rc::gen::arbitrary<bool>();
    Bed bed(terms, 0);
    auto relist = [&](bool whole) {
      bed.rules.beginEndpointList();
      std::set<EndpointId> named;
      for (std::uint64_t n = 1; n <= 4; ++n) {
        if (*rc::gen::inRange(0, 3) == 0) continue;
        EndpointState phase = *rc::gen::element(EndpointState::ready, EndpointState::ready,
                                                EndpointState::draining, EndpointState::removed);
        auto zone = static_cast<std::uint8_t>(n % 2);
        bed.list(n, phase, zone);
        model.list[endpoint(n)] = {phase, zone};
        named.insert(endpoint(n));
      }
      for (auto& [id, known] : model.list) {
        if (whole && !named.contains(id)) known.first = EndpointState::removed;
      }
      bed.rules.commitEndpointList(whole);
    };
    relist(true);
    std::vector<SendHealthCheck> probes;
    std::uint32_t nextId = 1;
    int steps = *rc::gen::inRange(20, 250);
    for (int step = 0; step < steps; ++step) {
      bed.to(bed.now + *rc::gen::element(0.0, 5.0, 40.0, 300.0, 1500.0));
      int what = *rc::gen::inRange(0, 20);
      if (what == 0) relist(*rc::gen::arbitrary<bool>());
      if (what >= 1 && what <= 9) {
        auto type = static_cast<std::uint16_t>(*rc::gen::inRange(0, 3));
        auto key = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
        model.all[nextId] = {terms.types[type], key, bed.now + 10000, 0, {}};
        bed.take(nextId, type, key);
        // Some were accepted by an earlier process, and attempted.
        if (*rc::gen::inRange(0, 4) == 0 && !model.list.empty()) {
          EndpointId to = model.list.rbegin()->first;
          Millis sent = bed.now - *rc::gen::element(20.0, 2500.0, 6000.0);
          bool proven = *rc::gen::arbitrary<bool>();
          bed.rules.recordEarlierAttempt(MessageId{nextId}, to, sent, proven);
          model.all[nextId].sent.push_back(
              {{MessageId{nextId}, to, 0, 0}, sent, false, proven, !proven, bed.now});
        }
        ++nextId;
      }
      if (what == 10 && !probes.empty()) {
        bed.rules.recordHealthCheckOutcome(
            probes.back().endpoint, *rc::gen::element(AttemptOutcome::completed, AttemptOutcome::timeout),
            {});
        probes.pop_back();
      }
      for (auto& [id, c] : model.all) {
        for (Sent& s : c.sent) {
          if (!s.out || (bed.now < c.outerLimit && *rc::gen::inRange(0, 3) != 0)) continue;
          AttemptOutcome ending =
              bed.now >= c.outerLimit
                  ? AttemptOutcome::timeout
                  : *rc::gen::element(AttemptOutcome::completed, AttemptOutcome::completed,
                                      AttemptOutcome::rejected, AttemptOutcome::error,
                                      AttemptOutcome::connectFailed, AttemptOutcome::reset,
                                      AttemptOutcome::timeout);
          Millis wait = ending == AttemptOutcome::rejected ? *rc::gen::element(0.0, 700.0, 4000.0) : 0.0;
          s.out = false;
          s.endedAt = bed.now;
          s.proven = ending == AttemptOutcome::rejected || ending == AttemptOutcome::connectFailed;
          s.mayRunOn = ending == AttemptOutcome::timeout || ending == AttemptOutcome::reset;
          Millis& until = model.waitUntil[model.path(s.what.endpoint)];
          until = std::max(until, wait > 0 ? bed.now + wait : 0);
          if (ending == AttemptOutcome::completed) c.finals = std::max(c.finals, 1);
          bed.end(s.what, ending, bed.now - s.at, wait);
        }
      }
      while (auto d = bed.rules.nextDecision()) {
        if (const auto* send = std::get_if<SendAttempt>(&*d)) {
          const ZoneFailover& rooms = bed.rules.state().zones;
          RC_ASSERT(!rooms.isLost(ZoneId{model.list.at(send->endpoint).second}));
          int strangers = 0;
          for (const auto& [id, c] : bed.rules.state().messages) {
            for (const Attempt& l : c.attempts) strangers += l.pending && l.isSpillover;
          }
          RC_ASSERT(strangers <= std::max(1, terms.maxConcurrentRequests / 2));
        }
        model.judge(*d, bed.now);
        if (const auto* check = std::get_if<SendHealthCheck>(&*d)) probes.push_back(*check);
      }
      for (const auto& [id, c] : model.all) RC_ASSERT(bed.now < c.outerLimit || c.finals == 1);
    }
  }));
}

}  // namespace
}  // namespace stonewing::testing
