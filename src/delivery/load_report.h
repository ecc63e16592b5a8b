#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "policy/decision.h"

// What the headers of a response say about the load of its endpoint.
namespace stonewing {

// Reads the value of an X-Load header, "field=number,field=number". `knownFields` are the fields that this
// deployment declares. A header with any part that cannot be read gives a report that reports nothing.
LoadReport parseLoadReport(std::string_view header, const std::vector<std::string>& knownFields);

}  // namespace stonewing
