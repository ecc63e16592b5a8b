#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "discovery/discovered_endpoint.h"
#include "policy/endpoint_state.h"
#include "settings/settings_reader.h"

// Parses discovery's answers. Only this parser knows the keys and values of the endpoint list's JSON.
namespace stonewing {

// An entry that can be used as it is.
struct ListedEndpoint {
  DiscoveredEndpoint endpoint;
  double weight{};
  EndpointState state{};
};

// An entry that cannot be used, with the parts of it that could be read.
struct UnusableEntry {
  std::string name;                           // empty if it cannot be read
  std::optional<EndpointState> leavingState;  // draining or removed, if the entry says so
  std::string problem;                        // why the entry cannot be used
};

// Whether an answer lists all endpoints or only those that have changed.
enum class ListExtent { changes, full };

struct EndpointList {
  std::int64_t version{0};
  ListExtent extent{ListExtent::changes};
  std::vector<std::variant<ListedEndpoint, UnusableEntry>> entries;  // in the order of the answer

  std::size_t unusableCount() const;
  // The problem of the first unusable entry; empty if all entries can be used.
  std::string firstProblem() const;
};

// The entries of a list whose endpoints drain or are removed, as unusable ones: they change no more than the
// state of an endpoint, and are safe to apply where the rest of the list is not.
EndpointList leavingEntriesOf(const EndpointList& list);

// The entries, as UnusableEntry, of an answer whose text ends early or is malformed after them. No value if
// the answer ends before its version.
std::optional<EndpointList> parsePartialEndpointList(std::string_view text);

// Throws ParseError if the answer as a whole cannot be read. An entry that cannot be read, or has a zone or a
// kind that the settings do not name, becomes an UnusableEntry.
EndpointList parseEndpointList(const nlohmann::json& answer, const NameTables& names);

}  // namespace stonewing
