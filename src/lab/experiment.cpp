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
#include "lab/wire_faults.h"

namespace stonewing::lab {
namespace {

constexpr double kMillisPerSecond = 1000;

constexpr std::pair<const char*, FaultKind> kFaultKinds[] = {
    {"refuse", FaultKind::refuseConnections},
    {"blackhole", FaultKind::blackhole},
    {"silent", FaultKind::noResponse},
    {"slow", FaultKind::slow},
    {"errors", FaultKind::errors},
    {"shut", FaultKind::rejectAll},
    {"lost", FaultKind::lostResponse},
    {"reset", FaultKind::connectionReset},
    {"spoilt", FaultKind::malformedResponse},
    {"cut", FaultKind::truncatedResponse},
    {"pause", FaultKind::pause},
    {"table", FaultKind::connectionLimit},
    {"list-late", FaultKind::discoveryDelayed},
    {"list-silent", FaultKind::discoveryUnresponsive},
    {"list-refuses", FaultKind::discoveryRefusing},
    {"list-resets", FaultKind::discoveryResetting},
    {"list-rejects", FaultKind::discoveryRejecting},
    {"list-moves", FaultKind::discoveryMoved},
    {"crowd", FaultKind::clientCrowd},
    {"watch-forgotten", FaultKind::watchesForgotten},
    {"drain", FaultKind::drain},
    {"list-wrong", FaultKind::discoveryWrong},
    {"kill", FaultKind::kill},
    {"stop", FaultKind::stop},
    {"terminate", FaultKind::terminate},
    {"cut-off", FaultKind::networkPartition},
    {"disk-full", FaultKind::diskFull},
    {"disk-hang", FaultKind::diskHang},
    {"answer-again", FaultKind::repeatedResponse},
    {"answer-early", FaultKind::earlyResponse},
    {"answer-extra", FaultKind::trailingBytes},
    {"answer-interim", FaultKind::interimResponse},
    {"answer-split", FaultKind::splitResponse},
    {"answer-held", FaultKind::delayedResponse},
    {"answer-closed", FaultKind::closeAfterResponse},
    {"answer-stalled", FaultKind::stalledResponse},
    {"answer-cut", FaultKind::cutResponse},
    {"answer-long", FaultKind::overstatedLength},
    {"answer-old", FaultKind::outdatedResponse},
    {"answer-refused", FaultKind::rejectedRequest},
};

// The Levenshtein distance of two words.
std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, substitution}));
    }
  }
  return row.back();
}

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
  auto closest = std::min_element(known.begin(), known.end(), [&](const auto& a, const auto& b) {
    return editDistance(word, a) < editDistance(word, b);
  });
  return closest == known.end() ? "" : *closest;
}

std::string quoted(std::string_view word) {
  std::string text = "'";
  text.append(word).push_back('\'');
  return text;
}

std::string commaSeparated(const std::vector<std::string>& words) {
  std::string text;
  for (const auto& w : words) text += (text.empty() ? "" : ", ") + w;
  return text;
}

// Collects all errors of a file, so that its author can fix them at once.
struct ConfigErrors {
  std::string file;
  std::vector<std::pair<toml::source_position, std::string>> errors;

  void add(const toml::source_region& region, const std::string& message) {
    errors.emplace_back(region.begin, message);
  }
  void throwIfAny() {
    if (errors.empty()) return;
    std::stable_sort(errors.begin(), errors.end(), [](const auto& a, const auto& b) {
      return std::pair(a.first.line, a.first.column) < std::pair(b.first.line, b.first.column);
    });
    std::string text;
    for (const auto& [position, message] : errors) {
      text += (text.empty() ? "" : "\n") + file + ":" + std::to_string(position.line) + ":" +
              std::to_string(position.column) + ": " + message;
    }
    throw ConfigError(text);
  }
};

// One table of the file. Reading a key makes it a known key, and rejectUnknownKeys() reports all others.
// Errors are added to ConfigErrors, and reading continues.
class Section {
 public:
  Section(const toml::table& table, std::string name, ConfigErrors& errors)
      : table_(table), name_(std::move(name)), errors_(errors) {}

  template <class T>
  void number(const char* key, T& into, double lowest, double highest, double unit = 1) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    auto value = node->value<double>();
    if (node->is_boolean() || !value || !std::isfinite(*value)) {
      return addError(*node, quoted(key) + " must be a number");
    }
    if (*value < lowest || *value > highest) {
      std::ostringstream text;
      text << quoted(key) << " is " << *value << "; it must lie between " << lowest << " and " << highest;
      return addError(*node, text.str());
    }
    if constexpr (std::is_integral_v<T>) {
      if (std::floor(*value) != *value) {
        return addError(*node, quoted(key) + " must be a whole number");
      }
    }
    into = static_cast<T>(*value * unit);
  }
  void flag(const char* key, bool& into) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    if (!node->is_boolean()) return addError(*node, quoted(key) + " must be true or false");
    into = *node->value<bool>();
  }
  void text(const char* key, std::string& into, bool required = false) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      if (required) addError(table_, quoted(name_) + " needs " + quoted(key) + ", a string in quotes");
      return;
    }
    if (!node->is_string()) return addError(*node, quoted(key) + " must be a string in quotes");
    into = *node->value<std::string>();
  }
  template <class T, std::size_t N>
  void choice(const char* key, T& into, const std::pair<const char*, T> (&known)[N], bool required = false) {
    std::string word;
    text(key, word, required);
    if (word.empty()) return;
    std::vector<std::string> names;
    for (const auto& [name, value] : known) {
      if (word == name) {
        into = value;
        return;
      }
      names.emplace_back(name);
    }
    addError(*table_.get(key), quoted(key) + " is \"" + word + "\"; it must be one of " +
                                   commaSeparated(names) + " (nearest: " + nearest(word, names) + ")");
  }
  void wholeNumbers(const char* key, std::vector<int>& into, int below) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const toml::array* rows = node->as_array();
    if (rows == nullptr) return addError(*node, quoted(key) + " must be a list of whole numbers");
    for (const toml::node& row : *rows) {
      auto value = row.value<std::int64_t>();
      if (!row.is_integer() || !value || *value < 0 || *value >= below) {
        addError(row, quoted(key) + " must hold whole numbers from 0 to " + std::to_string(below - 1));
        continue;
      }
      into.push_back(static_cast<int>(*value));
    }
  }
  void names(const char* key, std::vector<std::string>& into) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const toml::array* rows = node->as_array();
    if (rows == nullptr || rows->empty())
      return addError(*node, quoted(key) + " must be a list of one or more names");
    into.clear();
    for (const toml::node& row : *rows) {
      auto value = row.value<std::string>();
      if (!value || value->empty())
        return addError(row, quoted(key) + " must hold names in quotes, none of them empty");
      into.push_back(*value);
    }
  }
  std::optional<Section> table(const char* key) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) {
      addError(*node, quoted(key) + " must be a table");
      return std::nullopt;
    }
    return Section(*node->as_table(), key, errors_);
  }
  std::vector<Section> tables(const char* key) {
    std::vector<Section> found;
    const toml::node* node = find(key);
    if (node == nullptr) return found;
    const toml::array* rows = node->as_array();
    if (rows == nullptr ||
        !std::all_of(rows->begin(), rows->end(), [](const auto& r) { return r.is_table(); })) {
      addError(*node, "each entry of " + quoted(key) + " must be a table, with the header [[" + key + "]]");
      return found;
    }
    for (const toml::node& row : *rows) found.emplace_back(*row.as_table(), key, errors_);
    return found;
  }
  void addError(const toml::node& node, const std::string& message) { errors_.add(node.source(), message); }
  void addError(const char* key, const std::string& message) {
    const toml::node* node = table_.get(key);
    addError(node != nullptr ? *node : static_cast<const toml::node&>(table_), message);
  }
  void rejectUnknownKeys() {
    for (const auto& [key, node] : table_) {
      std::string word(key.str());
      if (known_.contains(word)) continue;
      std::vector<std::string> names(known_.begin(), known_.end());
      errors_.add(key.source(), quoted(word) + " is not a key of " + name_ + "; did you mean " +
                                    quoted(nearest(word, names)) + "? (keys: " + commaSeparated(names) + ")");
    }
  }

 private:
  const toml::node* find(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }
  const toml::table& table_;
  std::string name_;
  ConfigErrors& errors_;
  std::set<std::string> known_;
};

constexpr double kSecondsPerDay = 86400;

void readDistribution(Section& from, const char* key, DurationDistribution& into) {
  auto table = from.table(key);
  if (!table) return;
  static constexpr std::pair<const char*, DistributionShape> kShapes[] = {
      {"fixed", DistributionShape::fixed},
      {"lognormal", DistributionShape::lognormal},
      {"pareto", DistributionShape::pareto}};
  table->choice("shape", into.shape, kShapes);
  table->number("median_ms", into.median, 0.001, 1e6);
  table->number("spread", into.spread, 0, 20);
  if (into.shape == DistributionShape::pareto && into.spread <= 1) {
    table->addError("spread",
                    "'spread' is the exponent of a Pareto distribution here and must be above 1, or the "
                    "distribution has no mean");
  }
  table->rejectUnknownKeys();
}

void readEnvironment(Section& in, EnvironmentSettings& settings) {
  in.names("rooms", settings.zones);
  in.number("near_ms", settings.nearOneWay, 0, 10000);
  in.number("far_ms", settings.farOneWay, 0, 10000);
  in.number("destinations", settings.destinations, 1, 65535);
  in.number("endpoints", settings.endpoints, 1, 1000);
  in.number("zipf", settings.zipfExponent, 0, 5);
  readDistribution(in, "service", settings.serviceTime);
  in.number("parallel", settings.concurrency, 1, 1e6);
  in.number("queue", settings.queueCapacity, 0, 1e6);
  in.number("limit_per_s", settings.rateLimitPerSecond, 0, 1e6);
  in.number("limit_span_s", settings.rateLimitWindow, 0.01, 60, kMillisPerSecond);
  in.number("connections", settings.maxConnections, 1, 1e6);
  in.number("connect_ms", settings.connectDelay, 0, 10000);
  in.number("idle_s", settings.connectionIdleTimeout, 0.05, kSecondsPerDay, kMillisPerSecond);
  in.number("cold_from", settings.slowStartInitialShare, 0.01, 1);
  in.number("cold_s", settings.slowStartDuration, 0.01, 3600, kMillisPerSecond);
  in.number("fall_multiple", settings.overloadThreshold, 1, 100);
  in.number("fall_s", settings.overloadWindow, 0.01, 600, kMillisPerSecond);
  in.flag("list_pushed", settings.listPushed);
  in.number("drain_grace_s", settings.drainGrace, 0, 60, kMillisPerSecond);
  in.number("answer_slack_s", settings.answerSlack, 0, 60, kMillisPerSecond);
  in.number("order_pause_s", settings.orderingPause, 0, 60, kMillisPerSecond);
  in.number("per_call", settings.maxBatchSize, 1, 1000);
  in.flag("reports", settings.reportsLoad);
  in.flag("rooms_cold", settings.zonesSlowStart);
  in.rejectUnknownKeys();
}

void readLoad(Section& in, LoadSettings& settings) {
  static constexpr std::pair<const char*, ArrivalShape> kShapes[] = {
      {"poisson", ArrivalShape::poisson}, {"bursts", ArrivalShape::bursts}, {"dusk", ArrivalShape::ramp}};
  in.number("per_s", settings.perSecond, 0.01, 1e6);
  in.choice("arrivals", settings.arrivals, kShapes);
  in.number("burst_factor", settings.burstFactor, 1, 1000);
  in.number("burst_on_s", settings.burstDuration, 0.01, kSecondsPerDay, kMillisPerSecond);
  in.number("burst_off_s", settings.burstInterval, 0.01, kSecondsPerDay, kMillisPerSecond);
  in.number("dusk_factor", settings.rampFactor, 1, 1000);
  in.number("clump_share", settings.groupedShare, 0, 1);
  in.number("clump_size", settings.groupSize, 1, 10000);
  in.number("tenants", settings.tenants, 1, 65535);
  in.number("quota_per_s", settings.quotaPerSecond, 0.01, 1e9);
  in.number("surge_tenant", settings.surgeTenant, 0, 65534);
  in.number("surge_factor", settings.surgeFactor, 1, 1000);
  in.number("surge_from_s", settings.surgeFrom, 0, kSecondsPerDay, kMillisPerSecond);
  in.number("surge_until_s", settings.surgeUntil, 0, kSecondsPerDay, kMillisPerSecond);
  in.number("retries", settings.retries, 0, 100);
  in.number("retry_pause_s", settings.retryDelay, 0.001, 600, kMillisPerSecond);
  if (settings.surgeTenant >= settings.tenants)
    in.addError("surge_tenant", "'surge_tenant' must be below 'tenants', since tenants are numbered from 0");
  in.rejectUnknownKeys();
}

void readFleet(Section& in, FleetSettings& settings) {
  in.number("dispatchers", settings.dispatchers, 1, 5000);
  in.number("slots", settings.maxConcurrentRequests, 1, 1e6);
  in.number("held", settings.maxInFlight, 1, 1e7);
  in.number("launches", settings.attempts, 1, 100);
  in.flag("copies", settings.mayHedge);
  in.flag("probes", settings.mayHealthCheck);
  in.flag("withdraw", settings.mayCancel);
  in.flag("advice", settings.mayAdviseRetryAfter);
  in.number("longest_advice_s", settings.maxRetryAfter, 0, 600, kMillisPerSecond);
  in.number("connect_within_s", settings.connectTimeout, 0.01, 60, kMillisPerSecond);
  in.number("memory_mb", settings.memoryMegabytes, 4, 1e6);
  in.number("disk_mb", settings.diskMegabytes, 0.1, 1e6);
  in.number("sockets", settings.maxSockets, 64, 1e6);
  in.flag("writes_aside", settings.separateJournalWriter);
  static constexpr std::pair<const char*, ZonePriorityShape> kShapes[] = {{"none", ZonePriorityShape::none},
                                                                          {"near", ZonePriorityShape::near},
                                                                          {"ring", ZonePriorityShape::ring}};
  in.choice("tiers", settings.zonePriorities, kShapes);
  in.number("spill_share", settings.zoneFailover.spilloverShare, 0, 100);
  in.number("spill_slots", settings.zoneFailover.spilloverRequestShare, 0, 1);
  in.number("spill_per_s", settings.zoneFailover.spilloverPerSecond, 0, 1e6);
  in.number("climb_s", settings.zoneFailover.recoveryRampDuration, 0.01, 3600, kMillisPerSecond);
  in.number("climb_from", settings.zoneFailover.recoveryRampInitialShare, 0.001, 1);
  in.number("restart_s", settings.restartDelay, 0.05, 600, kMillisPerSecond);
  in.rejectUnknownKeys();
}

TrafficTypeSettings readType(Section& in) {
  static constexpr std::pair<const char*, Idempotency> kEffects[] = {
      {"pure", Idempotency::idempotent},
      {"receipted", Idempotency::idempotentWithKey},
      {"effectful", Idempotency::nonIdempotent}};
  static constexpr std::pair<const char*, DeduplicationScope> kGroups[] = {
      {"all", DeduplicationScope::destination}, {"room", DeduplicationScope::zone}};
  TrafficTypeSettings type;
  type.settings.latencyObjective = 1000;
  type.settings.deadlineAfter = 5000;
  in.text("name", type.name, true);
  in.number("share", type.share, 0, 1e6);
  in.choice("effect", type.settings.idempotency, kEffects, true);
  in.number("promised_ms", type.settings.latencyObjective, 1, 1e7);
  in.number("outer_ms", type.settings.deadlineAfter, 1, 1e7);
  in.number("gain", type.settings.priorityWeight, 0, 1e6);
  in.number("late_share", type.settings.lateWeightShare, 0, 1);
  in.number("window_ms", type.settings.deduplicationWindow, 1, 1e7);
  in.choice("group", type.settings.deduplicationScope, kGroups);
  in.flag("ordered", type.settings.ordered);
  in.number("keys", type.orderingKeyCount, 0, 1e9);
  if (type.settings.deadlineAfter < type.settings.latencyObjective) {
    in.addError("outer_ms",
                "'outer_ms', the deadline, must be at least 'promised_ms', the latency objective");
  }
  if (type.settings.idempotency == Idempotency::idempotentWithKey && type.settings.deduplicationWindow <= 0) {
    in.addError("effect",
                "a type whose 'effect' is receipted needs 'window_ms', the time within which endpoints drop "
                "a repeat");
  }
  if (type.settings.ordered && type.orderingKeyCount == 0)
    in.addError("ordered", "a type that is 'ordered' needs 'keys', the number of its ordering keys, above 0");
  in.rejectUnknownKeys();
  return type;
}

Fault readFault(Section& in, const Experiment& experiment) {
  Fault fault;
  in.choice("kind", fault.kind, kFaultKinds, true);
  in.number("from_s", fault.from, 0, kSecondsPerDay, kMillisPerSecond);
  in.number("until_s", fault.until, 0, kSecondsPerDay, kMillisPerSecond);
  in.text("room", fault.zone);
  in.wholeNumbers("destinations", fault.destinations, experiment.environment.destinations);
  in.wholeNumbers("endpoints", fault.endpoints, experiment.endpointCount());
  in.wholeNumbers("dispatchers", fault.dispatchers, experiment.fleet.dispatchers);
  in.number("share", fault.share, 0, 1);
  in.number("factor", fault.factor, 0, 1e6);
  in.number("wait_ms", fault.retryAfter, 0, 1e6);
  static constexpr std::pair<const char*, ResponseSource> kSources[] = {
      {"endpoints", ResponseSource::endpoint},
      {"discovery", ResponseSource::discovery},
      {"platform", ResponseSource::platform}};
  in.choice("at", fault.source, kSources);
  in.number("delay_from_ms", fault.delayFrom, 0, 1e6);
  in.number("delay_to_ms", fault.delayTo, 0, 1e6);
  in.number("times", fault.times, 1, 100);
  in.number("part", fault.part, 0, 1);
  if (fault.delayTo < fault.delayFrom) fault.delayTo = fault.delayFrom;
  if (fault.until <= fault.from) in.addError("until_s", "'until_s' must be later than 'from_s'");
  const auto& zones = experiment.environment.zones;
  if (!fault.zone.empty() && std::find(zones.begin(), zones.end(), fault.zone) == zones.end()) {
    in.addError("room",
                "there is no room \"" + fault.zone + "\"; 'rooms' of [world] has " + commaSeparated(zones));
  }
  bool factorIsShare = fault.kind == FaultKind::errors || fault.kind == FaultKind::lostResponse ||
                       fault.kind == FaultKind::connectionReset ||
                       fault.kind == FaultKind::malformedResponse ||
                       fault.kind == FaultKind::truncatedResponse || isWireFault(fault.kind);
  if (factorIsShare && fault.factor > 1)
    in.addError("factor", "for this 'kind', 'factor' is a share of the calls and must lie between 0 and 1");
  in.rejectUnknownKeys();
  return fault;
}

}  // namespace

bool isDiscoveryOutage(FaultKind kind) {
  return kind == FaultKind::discoveryUnresponsive || kind == FaultKind::discoveryRefusing ||
         kind == FaultKind::discoveryResetting || kind == FaultKind::discoveryRejecting;
}

bool isDispatcherFault(FaultKind kind) {
  return kind == FaultKind::kill || kind == FaultKind::stop || kind == FaultKind::terminate ||
         kind == FaultKind::diskFull || kind == FaultKind::diskHang || kind == FaultKind::discoveryMoved ||
         kind == FaultKind::clientCrowd;
}

const char* nameOf(FaultKind kind) {
  for (const auto& [name, value] : kFaultKinds) {
    if (value == kind) return name;
  }
  return "?";
}

namespace {

// Applies an override of the form "table.key=value" to the parsed file, and creates tables that it lacks.
void applyOverride(toml::table& root, const std::string& assignment) {
  std::size_t equals = assignment.find('=');
  if (equals == std::string::npos || equals == 0) {
    throw ConfigError("--set needs table.key=value, got '" + assignment + "'");
  }
  std::string path = assignment.substr(0, equals);
  toml::table value;
  try {
    value = toml::parse("value = " + assignment.substr(equals + 1));
  } catch (const toml::parse_error&) {
    throw ConfigError("--set " + path + ": '" + assignment.substr(equals + 1) +
                      "' is not a TOML value; a string needs quotes");
  }
  toml::table* table = &root;
  for (std::size_t dot; (dot = path.find('.')) != std::string::npos; path.erase(0, dot + 1)) {
    std::string key = path.substr(0, dot);
    table->insert(key, toml::table{});
    table = table->get(key)->as_table();
    if (table == nullptr) throw ConfigError("--set: '" + key + "' is not a table");
  }
  table->insert_or_assign(path, *value.get("value"));
}

}  // namespace

Experiment readExperiment(const std::string& text, const std::string& file,
                          const std::vector<std::string>& overrides) {
  ConfigErrors errors{file, {}};
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& problem) {
    errors.add(problem.source(), "invalid TOML: " + std::string(problem.description()));
    errors.throwIfAny();
  }
  for (const std::string& assignment : overrides) applyOverride(root, assignment);
  Experiment experiment;
  Section top(root, "the experiment", errors);
  top.text("name", experiment.name, true);
  top.number("seed", experiment.seed, 0, 9e15);
  top.number("duration_s", experiment.duration, 0.1, kSecondsPerDay, kMillisPerSecond);
  top.number("drain_s", experiment.drainDuration, 0, kSecondsPerDay, kMillisPerSecond);
  if (auto in = top.table("world")) readEnvironment(*in, experiment.environment);
  if (auto in = top.table("load")) readLoad(*in, experiment.load);
  if (auto in = top.table("fleet")) readFleet(*in, experiment.fleet);
  for (Section& in : top.tables("type")) experiment.types.push_back(readType(in));
  for (Section& in : top.tables("trouble")) experiment.faults.push_back(readFault(in, experiment));
  if (experiment.types.empty()) top.addError(root, "an experiment needs at least one [[type]]");
  top.rejectUnknownKeys();
  errors.throwIfAny();
  return experiment;
}

Experiment readExperimentFile(const std::string& path, const std::vector<std::string>& overrides) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("cannot read the experiment file " + path);
  return readExperiment(std::string(std::istreambuf_iterator<char>(in), {}), path, overrides);
}

Millis Experiment::end() const {
  Millis drain = drainDuration;
  if (drain <= 0) {
    for (const TrafficTypeSettings& t : types)
      drain = std::max(drain, t.settings.deadlineAfter + 2 * environment.answerSlack);
  }
  return duration + drain;
}

int Experiment::zoneOf(int endpoint) const {
  // Each destination begins with another zone, so that the first endpoints of all destinations do not share
  // one zone.
  int within = endpoint % environment.endpoints;
  return (within + destinationOf(endpoint)) % static_cast<int>(environment.zones.size());
}

std::vector<int> Experiment::affectedEndpoints(const Fault& fault) const {
  std::vector<int> affected;
  auto contains = [](const std::vector<int>& numbers, int number) {
    return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
  };
  bool affectsAll = fault.zone.empty() && fault.destinations.empty() && fault.endpoints.empty();
  for (int e = 0; e < endpointCount(); ++e) {
    bool inZone = !fault.zone.empty() && environment.zones[static_cast<std::size_t>(zoneOf(e))] == fault.zone;
    if (affectsAll || inZone || contains(fault.destinations, destinationOf(e)) ||
        contains(fault.endpoints, e))
      affected.push_back(e);
  }
  affected.resize(static_cast<std::size_t>(std::ceil(static_cast<double>(affected.size()) * fault.share)));
  return affected;
}

DeploymentSettings Experiment::deploymentSettings(int dispatcher) const {
  DeploymentSettings settings;
  for (const TrafficTypeSettings& type : types) settings.types.push_back(type.settings);
  settings.kinds = {{false, environment.maxBatchSize}};
  settings.tenantQuotaPerSecond.assign(static_cast<std::size_t>(load.tenants), load.quotaPerSecond);
  settings.overQuotaWeightShare = 0.05;
  settings.maxConcurrentRequests = fleet.maxConcurrentRequests;
  settings.maxInFlight = fleet.maxInFlight;
  settings.maxAttempts = fleet.attempts;
  settings.dispatcherCount = fleet.dispatchers;
  settings.dispatcherIndex = static_cast<std::uint32_t>(dispatcher);
  settings.zone = ZoneId{static_cast<std::uint8_t>(dispatcher % static_cast<int>(environment.zones.size()))};
  settings.mayHedge = fleet.mayHedge;
  settings.mayHealthCheck = fleet.mayHealthCheck;
  settings.mayCancel = fleet.mayCancel;
  settings.mayAdviseRetryAfter = fleet.mayAdviseRetryAfter;
  settings.reportsRateLimit = environment.reportsLoad;
  settings.maxRetryAfter = fleet.maxRetryAfter;
  settings.connectionIdleTimeout = environment.connectionIdleTimeout;
  settings.slowStartInitialShare = environment.slowStartInitialShare;
  settings.slowStartDuration = environment.slowStartDuration;
  settings.overloadThreshold = environment.overloadThreshold;
  settings.overloadWindow = environment.overloadWindow;
  settings.orderingPause = environment.orderingPause;
  if (fleet.zonePriorities == ZonePriorityShape::none) return settings;
  settings.zoneFailover = fleet.zoneFailover;
  auto zones = static_cast<int>(environment.zones.size());
  for (int n = 0; n < zones; ++n) {
    ZoneId zone{static_cast<std::uint8_t>((dispatcher + n) % zones)};
    bool equalsPrevious = fleet.zonePriorities == ZonePriorityShape::near && n > 1;
    if (!equalsPrevious) settings.zoneFailover.priorities.emplace_back();
    settings.zoneFailover.priorities.back().push_back(zone);
  }
  return settings;
}

}  // namespace stonewing::lab
