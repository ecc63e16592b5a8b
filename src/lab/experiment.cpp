#include "lab/experiment.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iterator>
#include <numeric>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

#include "base/bytes.h"

namespace stonewing::lab {
namespace {

constexpr double kMillisPerSecond = 1000;

constexpr std::pair<const char*, TroubleKind> kTroubles[] = {
    {"refuse", TroubleKind::refuse},       {"blackhole", TroubleKind::blackhole},
    {"silent", TroubleKind::silent},       {"slow", TroubleKind::slow},
    {"errors", TroubleKind::errors},       {"shut", TroubleKind::shut},
    {"lost", TroubleKind::lost},           {"reset", TroubleKind::reset},
    {"spoilt", TroubleKind::spoilt},       {"cut", TroubleKind::cut},
    {"pause", TroubleKind::pause},         {"table", TroubleKind::table},
    {"list-late", TroubleKind::listLate},  {"list-silent", TroubleKind::listSilent},
    {"drain", TroubleKind::drain},         {"list-wrong", TroubleKind::listWrong},
    {"kill", TroubleKind::kill},           {"stop", TroubleKind::stop},
    {"terminate", TroubleKind::terminate}, {"cut-off", TroubleKind::cutOff},
    {"disk-full", TroubleKind::diskFull},  {"disk-hang", TroubleKind::diskHang},
};

// How many letters must change to make one word of the other.
std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      std::size_t change = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
      corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, change}));
    }
  }
  return row.back();
}

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
  auto at = std::min_element(known.begin(), known.end(), [&](const auto& a, const auto& b) {
    return distance(word, a) < distance(word, b);
  });
  return at == known.end() ? "" : *at;
}

std::string quoted(std::string_view word) {
  std::string text = "'";
  text.append(word).push_back('\'');
  return text;
}

std::string listed(const std::vector<std::string>& words) {
  std::string text;
  for (const auto& w : words) text += (text.empty() ? "" : ", ") + w;
  return text;
}

// Gathers every mistake, so that a file is mended in one go.
struct Complaints {
  std::string file;
  std::vector<std::pair<toml::source_position, std::string>> found;

  void add(const toml::source_region& where, const std::string& what) {
    found.emplace_back(where.begin, what);
  }
  void raise() {
    if (found.empty()) return;
    std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
      return std::pair(a.first.line, a.first.column) < std::pair(b.first.line, b.first.column);
    });
    std::string text;
    for (const auto& [at, what] : found) {
      text += (text.empty() ? "" : "\n") + file + ":" + std::to_string(at.line) + ":" +
              std::to_string(at.column) + ": " + what;
    }
    throw ConfigError(text);
  }
};

// One table of the file. Every key that is asked for is known; done() names those that nobody asked for.
class Section {
 public:
  Section(const toml::table& table, std::string name, Complaints& complaints)
      : table_(table), name_(std::move(name)), complaints_(complaints) {}

  template <class T>
  void number(const char* key, T& into, double least, double most, double unit = 1) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    auto value = node->value<double>();
    if (node->is_boolean() || !value || !std::isfinite(*value)) {
      return wrong(*node, quoted(key) + " must be a number");
    }
    if (*value < least || *value > most) {
      std::ostringstream text;
      text << quoted(key) << " is " << *value << "; it must lie between " << least << " and " << most;
      return wrong(*node, text.str());
    }
    if constexpr (std::is_integral_v<T>) {
      if (std::floor(*value) != *value) {
        return wrong(*node, quoted(key) + " must be a whole number");
      }
    }
    into = static_cast<T>(*value * unit);
  }
  void flag(const char* key, bool& into) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    if (!node->is_boolean()) return wrong(*node, quoted(key) + " must be true or false");
    into = *node->value<bool>();
  }
  void text(const char* key, std::string& into, bool needed = false) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      if (needed) wrong(table_, quoted(name_) + " needs " + quoted(key) + ", a name in quotes");
      return;
    }
    if (!node->is_string()) return wrong(*node, quoted(key) + " must be a text in quotes");
    into = *node->value<std::string>();
  }
  template <class T, std::size_t N>
  void choice(const char* key, T& into, const std::pair<const char*, T> (&known)[N], bool needed = false) {
    std::string word;
    text(key, word, needed);
    if (word.empty()) return;
    std::vector<std::string> words;
    for (const auto& [name, value] : known) {
      if (word == name) {
        into = value;
        return;
      }
      words.emplace_back(name);
    }
    wrong(*table_.get(key), quoted(key) + " is \"" + word + "\"; it must be one of " + listed(words) +
                                " (nearest: " + nearest(word, words) + ")");
  }
  void whole(const char* key, std::vector<int>& into, int below) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const toml::array* rows = node->as_array();
    if (rows == nullptr) return wrong(*node, quoted(key) + " must be a list of whole numbers");
    for (const toml::node& row : *rows) {
      auto value = row.value<std::int64_t>();
      if (!row.is_integer() || !value || *value < 0 || *value >= below) {
        wrong(row, quoted(key) + " must hold whole numbers from 0 to " + std::to_string(below - 1));
        continue;
      }
      into.push_back(static_cast<int>(*value));
    }
  }
  void words(const char* key, std::vector<std::string>& into) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const toml::array* rows = node->as_array();
    if (rows == nullptr || rows->empty()) return wrong(*node, quoted(key) + " must be a list of names");
    into.clear();
    for (const toml::node& row : *rows) {
      auto value = row.value<std::string>();
      if (!value || value->empty()) return wrong(row, quoted(key) + " must hold names in quotes");
      into.push_back(*value);
    }
  }
  std::optional<Section> table(const char* key) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) {
      wrong(*node, quoted(key) + " must be a table");
      return std::nullopt;
    }
    return Section(*node->as_table(), key, complaints_);
  }
  std::vector<Section> tables(const char* key) {
    std::vector<Section> found;
    const toml::node* node = find(key);
    if (node == nullptr) return found;
    const toml::array* rows = node->as_array();
    if (rows == nullptr ||
        !std::all_of(rows->begin(), rows->end(), [](const auto& r) { return r.is_table(); })) {
      wrong(*node, "write " + quoted(key) + " as [[" + key + "]], once for each");
      return found;
    }
    for (const toml::node& row : *rows) found.emplace_back(*row.as_table(), key, complaints_);
    return found;
  }
  void wrong(const toml::node& node, const std::string& what) { complaints_.add(node.source(), what); }
  void wrong(const char* key, const std::string& what) {
    const toml::node* node = table_.get(key);
    wrong(node != nullptr ? *node : static_cast<const toml::node&>(table_), what);
  }
  void done() {
    for (const auto& [key, node] : table_) {
      std::string word(key.str());
      if (known_.contains(word)) continue;
      std::vector<std::string> names(known_.begin(), known_.end());
      complaints_.add(key.source(), quoted(word) + " is not a key of " + name_ + "; did you mean " +
                                        quoted(nearest(word, names)) + "? (keys: " + listed(names) + ")");
    }
  }

 private:
  const toml::node* find(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }
  const toml::table& table_;
  std::string name_;
  Complaints& complaints_;
  std::set<std::string> known_;
};

constexpr double kDay = 86400;

void readSpan(Section& from, const char* key, DrawnSpan& into) {
  auto span = from.table(key);
  if (!span) return;
  static constexpr std::pair<const char*, Shape> kShapes[] = {
      {"fixed", Shape::fixed}, {"lognormal", Shape::lognormal}, {"pareto", Shape::pareto}};
  span->choice("shape", into.shape, kShapes);
  span->number("median_ms", into.median, 0.001, 1e6);
  span->number("spread", into.spread, 0, 20);
  if (into.shape == Shape::pareto && into.spread <= 1) {
    span->wrong("spread", "a Pareto span needs 'spread' (its exponent) above 1, or it has no mean");
  }
  span->done();
}

void readWorld(Section& in, WorldPlan& w) {
  in.words("rooms", w.rooms);
  in.number("near_ms", w.nearOneWay, 0, 10000);
  in.number("far_ms", w.farOneWay, 0, 10000);
  in.number("destinations", w.destinations, 1, 65535);
  in.number("endpoints", w.endpoints, 1, 1000);
  in.number("zipf", w.zipf, 0, 5);
  readSpan(in, "service", w.service);
  in.number("parallel", w.parallel, 1, 1e6);
  in.number("queue", w.queue, 0, 1e6);
  in.number("limit_per_s", w.limitPerSecond, 0, 1e6);
  in.number("limit_span_s", w.limitSpan, 0.01, 60, kMillisPerSecond);
  in.number("connections", w.connections, 1, 1e6);
  in.number("connect_ms", w.connect, 0, 10000);
  in.number("idle_s", w.connectionIdle, 0.05, kDay, kMillisPerSecond);
  in.number("cold_from", w.coldFrom, 0.01, 1);
  in.number("cold_s", w.coldSpan, 0.01, 3600, kMillisPerSecond);
  in.number("fall_multiple", w.fallMultiple, 1, 100);
  in.number("fall_s", w.fallSpan, 0.01, 600, kMillisPerSecond);
  in.number("drain_grace_s", w.drainGrace, 0, 60, kMillisPerSecond);
  in.number("answer_slack_s", w.answerSlack, 0, 60, kMillisPerSecond);
  in.number("order_pause_s", w.orderPause, 0, 60, kMillisPerSecond);
  in.number("per_call", w.perCall, 1, 1000);
  in.flag("reports", w.reports);
  in.flag("rooms_cold", w.roomsCold);
  in.done();
}

void readLoad(Section& in, LoadPlan& l) {
  static constexpr std::pair<const char*, ArrivalShape> kShapes[] = {
      {"poisson", ArrivalShape::poisson}, {"bursts", ArrivalShape::bursts}, {"dusk", ArrivalShape::dusk}};
  in.number("per_s", l.perSecond, 0.01, 1e6);
  in.choice("arrivals", l.arrivals, kShapes);
  in.number("burst_factor", l.burstFactor, 1, 1000);
  in.number("burst_on_s", l.burstOn, 0.01, kDay, kMillisPerSecond);
  in.number("burst_off_s", l.burstOff, 0.01, kDay, kMillisPerSecond);
  in.number("dusk_factor", l.duskFactor, 1, 1000);
  in.number("clump_share", l.clumpShare, 0, 1);
  in.number("clump_size", l.clumpSize, 1, 10000);
  in.number("tenants", l.tenants, 1, 65535);
  in.number("quota_per_s", l.quotaPerSecond, 0.01, 1e9);
  in.number("surge_tenant", l.surgeTenant, 0, 65534);
  in.number("surge_factor", l.surgeFactor, 1, 1000);
  in.number("surge_from_s", l.surgeFrom, 0, kDay, kMillisPerSecond);
  in.number("surge_until_s", l.surgeUntil, 0, kDay, kMillisPerSecond);
  in.number("retries", l.retries, 0, 100);
  in.number("retry_pause_s", l.retryPause, 0.001, 600, kMillisPerSecond);
  if (l.surgeTenant >= l.tenants) in.wrong("surge_tenant", "'surge_tenant' must be below 'tenants'");
  in.done();
}

void readFleet(Section& in, FleetPlan& f) {
  in.number("dispatchers", f.dispatchers, 1, 5000);
  in.number("slots", f.slots, 1, 1e6);
  in.number("held", f.held, 1, 1e7);
  in.number("launches", f.launches, 1, 100);
  in.flag("copies", f.copies);
  in.flag("probes", f.probes);
  in.flag("withdraw", f.withdraw);
  in.flag("advice", f.advice);
  in.number("longest_advice_s", f.longestAdvice, 0, 600, kMillisPerSecond);
  in.number("connect_within_s", f.connectWithin, 0.01, 60, kMillisPerSecond);
  in.number("memory_mb", f.memoryMegabytes, 4, 1e6);
  in.number("disk_mb", f.diskMegabytes, 0.1, 1e6);
  in.number("sockets", f.sockets, 64, 1e6);
  in.flag("writes_aside", f.writesAside);
  static constexpr std::pair<const char*, TierShape> kShapes[] = {
      {"none", TierShape::none}, {"near", TierShape::near}, {"ring", TierShape::ring}};
  in.choice("tiers", f.tiers, kShapes);
  in.number("spill_share", f.rooms.spilloverShare, 0, 100);
  in.number("spill_slots", f.rooms.spilloverRequestShare, 0, 1);
  in.number("spill_per_s", f.rooms.spilloverPerSecond, 0, 1e6);
  in.number("climb_s", f.rooms.recoveryRampDuration, 0.01, 3600, kMillisPerSecond);
  in.number("climb_from", f.rooms.recoveryRampInitialShare, 0.001, 1);
  in.number("restart_s", f.restart, 0.05, 600, kMillisPerSecond);
  in.done();
}

TypePlan readType(Section& in) {
  static constexpr std::pair<const char*, Idempotency> kEffects[] = {
      {"pure", Idempotency::idempotent},
      {"receipted", Idempotency::idempotentWithKey},
      {"effectful", Idempotency::nonIdempotent}};
  static constexpr std::pair<const char*, DeduplicationScope> kGroups[] = {
      {"all", DeduplicationScope::destination}, {"room", DeduplicationScope::zone}};
  TypePlan t;
  t.terms.latencyObjective = 1000;
  t.terms.deadlineAfter = 5000;
  in.text("name", t.name, true);
  in.number("share", t.share, 0, 1e6);
  in.choice("effect", t.terms.idempotency, kEffects, true);
  in.number("promised_ms", t.terms.latencyObjective, 1, 1e7);
  in.number("outer_ms", t.terms.deadlineAfter, 1, 1e7);
  in.number("gain", t.terms.priorityWeight, 0, 1e6);
  in.number("late_share", t.terms.lateWeightShare, 0, 1);
  in.number("window_ms", t.terms.deduplicationWindow, 1, 1e7);
  in.choice("group", t.terms.deduplicationScope, kGroups);
  in.flag("ordered", t.terms.ordered);
  in.number("keys", t.keys, 0, 1e9);
  if (t.terms.deadlineAfter < t.terms.latencyObjective) {
    in.wrong("outer_ms",
             "'outer_ms' must be at least 'promised_ms': a callback is promised before it is too late");
  }
  if (t.terms.idempotency == Idempotency::idempotentWithKey && t.terms.deduplicationWindow <= 0) {
    in.wrong("effect", "a receipted type needs 'window_ms', the time within which a repeat is dropped");
  }
  if (t.terms.ordered && t.keys == 0) in.wrong("ordered", "an ordered type needs 'keys', how many there are");
  in.done();
  return t;
}

TroublePlan readTrouble(Section& in, const Plan& plan) {
  TroublePlan t;
  in.choice("kind", t.kind, kTroubles, true);
  in.number("from_s", t.from, 0, kDay, kMillisPerSecond);
  in.number("until_s", t.until, 0, kDay, kMillisPerSecond);
  in.text("room", t.room);
  in.whole("destinations", t.destinations, plan.world.destinations);
  in.whole("endpoints", t.endpoints, plan.endpointCount());
  in.whole("dispatchers", t.dispatchers, plan.fleet.dispatchers);
  in.number("share", t.share, 0, 1);
  in.number("factor", t.factor, 0, 1e6);
  if (t.until <= t.from) in.wrong("until_s", "'until_s' must be later than 'from_s'");
  const auto& rooms = plan.world.rooms;
  if (!t.room.empty() && std::find(rooms.begin(), rooms.end(), t.room) == rooms.end()) {
    in.wrong("room", "there is no room \"" + t.room + "\"; the rooms are " + listed(rooms));
  }
  bool asShare = t.kind == TroubleKind::errors || t.kind == TroubleKind::lost ||
                 t.kind == TroubleKind::reset || t.kind == TroubleKind::spoilt || t.kind == TroubleKind::cut;
  if (asShare && t.factor > 1) in.wrong("factor", "'factor' is a share of the calls here: between 0 and 1");
  in.done();
  return t;
}

}  // namespace

const char* nameOf(TroubleKind kind) {
  for (const auto& [name, value] : kTroubles) {
    if (value == kind) return name;
  }
  return "?";
}

namespace {

// Puts "table.key=value" in place of what the file says.
void apply(toml::table& root, const std::string& change) {
  std::size_t equals = change.find('=');
  if (equals == std::string::npos || equals == 0) {
    throw ConfigError("--set takes table.key=value, not '" + change + "'");
  }
  std::string path = change.substr(0, equals);
  toml::table value;
  try {
    value = toml::parse("value = " + change.substr(equals + 1));
  } catch (const toml::parse_error&) {
    throw ConfigError("--set " + path + ": '" + change.substr(equals + 1) +
                      "' is no TOML value; texts need quotes");
  }
  toml::table* at = &root;
  for (std::size_t dot; (dot = path.find('.')) != std::string::npos; path.erase(0, dot + 1)) {
    std::string key = path.substr(0, dot);
    at->insert(key, toml::table{});
    at = at->get(key)->as_table();
    if (at == nullptr) throw ConfigError("--set: '" + key + "' is no table");
  }
  at->insert_or_assign(path, *value.get("value"));
}

}  // namespace

Plan readPlan(const std::string& text, const std::string& file, const std::vector<std::string>& overrides) {
  Complaints complaints{file, {}};
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& problem) {
    complaints.add(problem.source(), "not TOML: " + std::string(problem.description()));
    complaints.raise();
  }
  for (const std::string& change : overrides) apply(root, change);
  Plan plan;
  Section top(root, "the experiment", complaints);
  top.text("name", plan.name, true);
  top.number("seed", plan.seed, 0, 9e15);
  top.number("duration_s", plan.duration, 0.1, kDay, kMillisPerSecond);
  top.number("drain_s", plan.drainAfter, 0, kDay, kMillisPerSecond);
  if (auto in = top.table("world")) readWorld(*in, plan.world);
  if (auto in = top.table("load")) readLoad(*in, plan.load);
  if (auto in = top.table("fleet")) readFleet(*in, plan.fleet);
  for (Section& in : top.tables("type")) plan.types.push_back(readType(in));
  for (Section& in : top.tables("trouble")) plan.troubles.push_back(readTrouble(in, plan));
  if (plan.types.empty()) top.wrong(root, "an experiment needs at least one [[type]]");
  top.done();
  complaints.raise();
  return plan;
}

Plan loadPlan(const std::string& path, const std::vector<std::string>& overrides) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("cannot read " + path);
  return readPlan(std::string(std::istreambuf_iterator<char>(in), {}), path, overrides);
}

Millis Plan::end() const {
  Millis longest = drainAfter;
  if (longest <= 0) {
    for (const TypePlan& t : types)
      longest = std::max(longest, t.terms.deadlineAfter + 2 * world.answerSlack);
  }
  return duration + longest;
}

int Plan::roomOf(int endpoint) const {
  // Dealt out so that the first endpoints of all destinations do not share one room.
  int within = endpoint % world.endpoints;
  return (within + destinationOf(endpoint)) % static_cast<int>(world.rooms.size());
}

std::vector<int> Plan::struck(const TroublePlan& t) const {
  std::vector<int> found;
  auto has = [](const std::vector<int>& all, int one) {
    return std::find(all.begin(), all.end(), one) != all.end();
  };
  bool all = t.room.empty() && t.destinations.empty() && t.endpoints.empty();
  for (int e = 0; e < endpointCount(); ++e) {
    bool inRoom = !t.room.empty() && world.rooms[static_cast<std::size_t>(roomOf(e))] == t.room;
    if (all || inRoom || has(t.destinations, destinationOf(e)) || has(t.endpoints, e)) found.push_back(e);
  }
  found.resize(static_cast<std::size_t>(std::ceil(static_cast<double>(found.size()) * t.share)));
  return found;
}

DeploymentSettings Plan::terms(int dispatcher) const {
  DeploymentSettings t;
  for (const TypePlan& type : types) t.types.push_back(type.terms);
  t.kinds = {{false, world.perCall}};
  t.tenantQuotaPerSecond.assign(static_cast<std::size_t>(load.tenants), load.quotaPerSecond);
  t.overQuotaWeightShare = 0.05;
  t.maxConcurrentRequests = fleet.slots;
  t.maxInFlight = fleet.held;
  t.maxAttempts = fleet.launches;
  t.dispatcherCount = fleet.dispatchers;
  t.dispatcherIndex = static_cast<std::uint32_t>(dispatcher);
  t.zone = ZoneId{static_cast<std::uint8_t>(dispatcher % static_cast<int>(world.rooms.size()))};
  t.mayHedge = fleet.copies;
  t.mayHealthCheck = fleet.probes;
  t.mayCancel = fleet.withdraw;
  t.mayAdviseRetryAfter = fleet.advice;
  t.reportsRateLimit = world.reports;
  t.maxRetryAfter = fleet.longestAdvice;
  t.connectionIdleTimeout = world.connectionIdle;
  t.slowStartInitialShare = world.coldFrom;
  t.slowStartDuration = world.coldSpan;
  t.overloadThreshold = world.fallMultiple;
  t.overloadWindow = world.fallSpan;
  t.orderingPause = world.orderPause;
  if (fleet.tiers == TierShape::none) return t;
  t.zoneFailover = fleet.rooms;
  auto rooms = static_cast<int>(world.rooms.size());
  for (int n = 0; n < rooms; ++n) {
    ZoneId room{static_cast<std::uint8_t>((dispatcher + n) % rooms)};
    bool joins = fleet.tiers == TierShape::near && n > 1;
    if (!joins) t.zoneFailover.priorities.emplace_back();
    t.zoneFailover.priorities.back().push_back(room);
  }
  return t;
}

}  // namespace stonewing::lab
