#include "discovery/endpoint_list_parser.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/errors.h"
#include "net/event_loop.h"

namespace stonewing {
namespace {

using nlohmann::json;

constexpr const char* kDrainingState = "terminating";
constexpr const char* kRemovedState = "terminated";
constexpr std::int64_t kMaxDestination = 0xffff;

EndpointState parseState(const std::string& state) {
  if (state == "in_service") return EndpointState::ready;
  if (state == kDrainingState) return EndpointState::draining;
  if (state == kRemovedState) return EndpointState::removed;
  throw ParseError("state is not in_service, terminating or terminated: " + state);
}

// The id of a name is its index in the table.
template <class Id>
Id idOfName(const std::vector<std::string>& names, const std::string& name) {
  auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) throw ParseError("kind or zone is not in the settings: " + name);
  return Id{static_cast<decltype(Id{}.value)>(found - names.begin())};
}

DestinationId parseDestination(const json& entry, const std::string& endpointName) {
  auto cell = entry.at("cell").get<std::int64_t>();
  if (cell < 0 || cell > kMaxDestination)
    throw ParseError("cell is not in 0..65535 in the entry of endpoint " + endpointName);
  return DestinationId{static_cast<std::uint16_t>(cell)};
}

// 0 if the entry states none, or one that cannot be read: the entry is usable without it.
Millis startTimeOf(const json& entry) {
  auto found = entry.find("started_ms");
  if (found == entry.end() || !found->is_number()) return 0;
  return found->get<Millis>();
}

ListedEndpoint parseEntry(const json& entry, const NameTables& names) try {
  ListedEndpoint listed;
  EndpointRecord& record = listed.endpoint.record;
  record.name = entry.at("id").get<std::string>();
  listed.state = parseState(entry.at("state").get<std::string>());
  listed.endpoint.authority = entry.at("addr").get<std::string>();
  auto address = parseAddress(listed.endpoint.authority);
  if (!address)
    throw ParseError("addr is not an IPv4 address with a port in the entry of endpoint " + record.name);
  listed.endpoint.process = {*address, startTimeOf(entry)};
  record.zone = idOfName<ZoneId>(names.zones, entry.at("zone").get<std::string>());
  record.kind = idOfName<KindId>(names.kinds, entry.at("kind").get<std::string>());
  record.destination = parseDestination(entry, record.name);
  listed.weight = entry.value("weight", 1.0);
  if (!std::isfinite(listed.weight))
    throw ParseError("weight is not a finite number in the entry of endpoint " + record.name);
  return listed;
} catch (const json::exception& problem) {
  throw ParseError(problem.what());
}

// Returns the string value at the key; empty if the entry has none.
std::string textAt(const json& entry, const char* key) {
  if (!entry.is_object()) return "";
  auto found = entry.find(key);
  if (found == entry.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

UnusableEntry readUnusableEntry(const json& entry, const std::string& problem) {
  UnusableEntry unusable{textAt(entry, "id"), std::nullopt, problem};
  std::string state = textAt(entry, "state");
  if (state == kDrainingState || state == kRemovedState) unusable.leavingState = parseState(state);
  return unusable;
}

}  // namespace

std::size_t EndpointList::unusableCount() const {
  return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const auto& entry) {
    return std::holds_alternative<UnusableEntry>(entry);
  }));
}

std::string EndpointList::firstProblem() const {
  for (const auto& entry : entries) {
    if (const auto* unusable = std::get_if<UnusableEntry>(&entry)) return unusable->problem;
  }
  return "";
}

std::optional<EndpointList> parsePartialEndpointList(std::string_view text) {
  constexpr int kMemberDepth = 1;  // of the members of the answer
  constexpr int kEntryDepth = 2;   // of the entries of its list
  EndpointList list;
  bool hasVersion = false;
  std::string member;
  auto visit = [&](int depth, json::parse_event_t event, json& parsed) {
    if (depth == kMemberDepth && event == json::parse_event_t::key) member = parsed.get<std::string>();
    if (depth == kMemberDepth && event == json::parse_event_t::value && member == "version") {
      hasVersion = parsed.is_number_integer();
      if (hasVersion) list.version = parsed.get<std::int64_t>();
    }
    if (depth == kEntryDepth && event == json::parse_event_t::object_end && member == "servers") {
      list.entries.emplace_back(readUnusableEntry(parsed, "the list ends early"));
    }
    return true;
  };
  constexpr bool kThrowExceptions = false;
  const json discarded = json::parse(text, visit, kThrowExceptions);
  if (!hasVersion) return std::nullopt;
  return list;
}

EndpointList leavingEntriesOf(const EndpointList& list) {
  EndpointList leaving{list.version, ListExtent::changes, {}};
  for (const auto& entry : list.entries) {
    if (const auto* unusable = std::get_if<UnusableEntry>(&entry)) {
      if (unusable->leavingState) leaving.entries.emplace_back(*unusable);
    } else {
      const auto& listed = std::get<ListedEndpoint>(entry);
      if (listed.state == EndpointState::ready) continue;
      leaving.entries.emplace_back(UnusableEntry{listed.endpoint.record.name, listed.state, ""});
    }
  }
  return leaving;
}

EndpointList parseEndpointList(const json& answer, const NameTables& names) try {
  EndpointList list;
  list.version = answer.at("version").get<std::int64_t>();
  list.extent = answer.at("full").get<bool>() ? ListExtent::full : ListExtent::changes;
  for (const json& entry : answer.at("servers")) {
    try {
      list.entries.emplace_back(parseEntry(entry, names));
    } catch (const Error& problem) {
      list.entries.emplace_back(readUnusableEntry(entry, problem.what()));
    }
  }
  return list;
} catch (const json::exception& problem) {
  throw ParseError(problem.what());
}

}  // namespace stonewing
