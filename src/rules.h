#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "core/decision.h"
#include "core/state.h"
#include "core/terms.h"

namespace stonewing {

// The decisions of one instance. Tell it what happened, then pull decisions until there is none.
class Rules {
 public:
  Rules(DeploymentSettings terms, std::uint64_t seed);

  void roundBegins(Millis now);
  void listBegins();
  void listed(EndpointId id, DestinationId destination, KindId kind, ZoneId zone, double weight,
              EndpointState phase);
  void listEnds(bool whole);
  void taken(MessageId id, TrafficTypeId type, TenantId tenant, OrderingKey key, DestinationId destination,
             Millis outerLimit);
  // Of a message just taken, by an earlier process; in the order of its attempts.
  void launchedBefore(MessageId id, EndpointId endpoint, Millis sent, bool neverRan);
  // Of an attempt just decided, where the host knows it: how long the connection it goes out on had been
  // idle.
  void goesOutOn(MessageId id, int launch, Millis idle) {
    if (Message* c = s_.find(id)) c->attempts.at(static_cast<std::size_t>(launch)).connectionIdleTime = idle;
  }
  // Its bytes, kept back since it was decided, go out now.
  void goesOutNow(MessageId id, int launch) {
    if (Message* c = s_.find(id)) c->attempts.at(static_cast<std::size_t>(launch)).sentAt = s_.now;
  }
  void answerStarted(MessageId id, int launch) {
    Message* c = s_.find(id);
    if (c != nullptr && launch < static_cast<int>(c->attempts.size())) c->responseStarted = true;
  }
  void launchEnded(MessageId id, int launch, AttemptOutcome ending, Millis spent, bool over, Millis wait,
                   LoadReport report);
  void probeEnded(EndpointId id, AttemptOutcome ending, LoadReport report);
  void clientGone(MessageId id) { over(id); }
  // Also when it comes a rounding early: then what is due is asked for again.
  void woken() { s_.timerSetFor = -1; }
  std::optional<Decision> next();
  // Whether a tenant is above its share here, as far as its last message told.
  bool overShare(TenantId tenant) const {
    return tenant.value < s_.tenantQuotas.size() && s_.tenantQuotas[tenant.value].tokens < 1;
  }
  // Whether an attempt that was decided earlier may still be sent.
  bool mayBegin(MessageId id, int launch) const;

  const PolicyState& state() const { return s_; }

 private:
  const TrafficType& type(const Message& c) const { return terms_.types.at(c.type.value); }
  double gainAt(const Message& c, Millis at) const;
  bool mayHaveRun(const Attempt& l) const { return l.pending || !l.provablyNotExecuted; }
  bool anyMayHaveRun(const Message& c) const;
  bool repeatAllowed(const Message& c, const Endpoint* to, const Attempt* self = nullptr) const;
  bool shedAllowed(const Message& c) const;
  bool keyFree(MessageId id, const Message& c);
  MessageId over(MessageId id);
  void addSample(LatencyReservoir& samples, Millis spent);
  LatencyQuantiles usual(const Route& p, const TrafficType& t) const;
  Millis copyDelay(const Message& c, const Endpoint& e, const Route& p, Millis sent) const;
  void cut(Route& p, Millis sent);
  Millis pause(const Route& p);
  void lookAgain(const Route& p);
  void outageBegins(Route& p, bool told);
  void returned(Route& p);
  void noteOk(Route& p, Endpoint& e, Millis sent, Millis spent);
  void noteReport(Route& p, const Endpoint& e, LoadReport report);
  void easePace(Route& p);
  // Whether a limit binds there that is known: from then on calls keep their distance before any refusal.
  bool paced(const Route& p) const {
    return (p.reportedRateLimit > 0 || (p.reportedRateLimit < 0 && terms_.reportsRateLimit)) &&
           shareTold(p) > 0;
  }
  Millis paceGap(const Route& p) const;
  void noteFailure(Route& p, Endpoint& e, Millis sent, AttemptOutcome ending);
  void noteRefusal(Route& p, Endpoint& e, Millis wait, Millis sent);
  double shareTold(const Route& p) const;
  double shareOfCapacity(const Route& p) const;
  double shareShown(const Route& p) const;
  Millis coldSpacing(const Route& p);
  void pushed(Route& p);
  bool avoided(const Endpoint& e);
  Millis restEnds(const Endpoint& e) const;
  bool pathOpen(Route& p);
  bool roomOpen(const Endpoint& e);
  int perCall(const Endpoint& e) const;
  bool joins(const Endpoint& e);
  bool room(const Route& p, const Endpoint& e);
  Endpoint* choose(const Message& c, bool copy);
  Decision launch(MessageId id, Endpoint& e, bool copy);
  Millis spentAt(const Message& c) const;
  Millis silenceOf(const Message& c, const Route& p) const;
  void noticeSilence();
  template <class Visit>
  void mostUrgent(const WaitList& line, const TrafficType& t, Millis from, Visit visit) const;
  Millis latestLaunch(const Message& c) const;
  Decision shed(MessageId id, Millis away);
  std::optional<Decision> dueAnswer();
  std::optional<Decision> makeRoom();
  std::optional<Decision> withdrawLoser();
  std::optional<Decision> freeStuck();
  std::optional<Decision> copyDue();
  std::optional<Decision> launchDue();
  std::optional<Decision> closeIdle();
  std::optional<Decision> trial();
  std::optional<Decision> wake();
  bool reached(Millis at);
  double draw();

  DeploymentSettings terms_;
  std::mt19937 chance_;
  PolicyState s_;
  Millis wakeWanted_{-1};
  // Walks over the attempts that are out go once through a round, however many decisions it brings: where
  // each has got to. An answer makes all that was seen void.
  struct Seen {
    int silence{-1};  // the round in which silence was looked for
    int round{-1};    // of the next four
    MessageId stuckFrom{};
    MessageId copyFrom{};
    bool stuckWanted{false};
  } seen_;
  void look() {
    if (seen_.round != s_.round) seen_ = {seen_.silence, s_.round, {}, {}, false};
  }
  // Between two inputs that tell something of an attempt, a route or the list, nothing of those that are out
  // comes due before the time at which the last round wanted to be woken: until then none is walked.
  Millis quietUntil_{-1};
  bool quiet() { return !reached(quietUntil_); }
  struct Asked {
    bool copies{false};  // whether hedges might go out, the last time
    int launched{-1};    // the last round with an attempt
  } asked_;
};

}  // namespace stonewing
