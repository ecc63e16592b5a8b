#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "discovery/discovered_endpoint.h"
#include "policy/endpoint_state.h"
#include "settings/settings_reader.h"

// Reads discovery's answers. The spelling of the endpoint list stands here and nowhere else.
namespace stonewing {

// An entry that can be used as it is.
struct ListedEndpoint {
  DiscoveredEndpoint endpoint;
  double weight{};
  EndpointState state{};
};

// An entry that cannot be used, with what could still be read of it.
struct UnusableEntry {
  std::string name;                           // empty where not even that can be read
  std::optional<EndpointState> leavingState;  // draining or removed, where the entry says so
  std::string problem;
};

// Whether an answer names all endpoints there are, or only those that changed.
enum class ListExtent { changes, full };

struct EndpointList {
  std::int64_t version{0};
  ListExtent extent{ListExtent::changes};
  std::vector<std::variant<ListedEndpoint, UnusableEntry>> entries;  // in the order of the answer

  std::size_t unusableCount() const;
  // What is wrong with the first unusable entry; empty where all can be used.
  std::string firstProblem() const;
};

// Throws ParseError where the answer as a whole cannot be read. An entry that cannot be read, or names a zone
// or a kind that the settings do not know, is an UnusableEntry.
EndpointList parseEndpointList(const nlohmann::json& answer, const NameTables& names);

}  // namespace stonewing
