#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/terms.h"

namespace stonewing {

using PathId = Id<struct PathTag, std::uint64_t>;

struct Launch {
  EndpointId endpoint{};
  Millis sent{};
  int call{};
  bool copy{false};
  bool out{true};
  bool neverRan{false};
  bool withdrawn{false};
  bool overdueSeen{false};
};

struct Callback {
  TrafficTypeId type{};
  TenantId tenant{};
  KeyId key{};
  DestinationId destination{};
  Millis outerLimit{};
  Millis notBefore{};
  bool overShare{false};
  bool over{false};
  bool started{false};
  bool copied{false};
  std::vector<Launch> launches;
};

struct Samples {
  std::vector<Millis> kept;
  Millis p95{0};
  Millis p50{0};
  Millis computed{0};
};

struct Endpoint {
  DestinationId destination{};
  KindId kind{};
  ZoneId zone{};
  PathId path{};
  double weight{0};
  Phase phase{Phase::gone};
  int callsOut{0};
  int failures{0};
  Millis failedAt{0};
  Millis okAt{0};
  int batchRound{-1};
  int batchCall{0};
  int batchSize{0};
  Samples samples;
};

// A destination, or one of its endpoints where routes are apart.
struct Path {
  KindId kind{};
  std::vector<EndpointId> endpoints;
  double window{1};
  int timely{0};
  int callsOut{0};
  Millis lastCut{0};
  Millis waitUntil{0};
  Millis pauseUntil{0};
  int refusals{0};
  int failures{0};
  Millis okAt{0};
  Millis okSentAt{0};
  bool outage{false};
  bool told{false};
  Millis coldSince{0};
  bool cold{false};
  bool probesLie{false};
  bool probeOut{false};
  bool servedSinceReturn{true};
  Millis nextTrial{0};
  std::size_t trialTurn{0};
  double okCount{0};
  Millis okCounted{0};
  Millis firstOk{0};
  double limitTold{0};
  double leftTold{1};
  Millis leftAt{0};
  std::deque<Millis> sends;
  Samples samples;
};

struct Call {
  EndpointId endpoint{};
  int open{0};
};

struct KeyLine {
  std::deque<CallbackId> waiting;
  Millis restUntil{0};
};

struct InstanceState {
  Millis now{0};
  Millis began{-1};
  int round{0};
  int slotsUsed{0};
  int held{0};
  int nextCall{1};
  double retryBudget{0};
  Millis wakeAsked{-1};
  std::map<CallbackId, Callback> callbacks;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<PathId, Path> paths;
  std::map<DestinationId, std::vector<EndpointId>> ranking;
  std::map<int, Call> calls;
  std::map<KeyId, KeyLine> keys;
  std::vector<double> tenantLeft;
  std::vector<Millis> tenantSeen;
  std::deque<std::pair<CallbackId, int>> losers;
  std::set<EndpointId> listing;
  Samples samples;
};

}  // namespace stonewing
