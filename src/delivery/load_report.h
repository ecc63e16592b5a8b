#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "policy/decision.h"

// The load that an endpoint reports in the headers of its responses.
namespace stonewing {

// Parses the value of an X-Load header, "field=number,field=number". `knownFields` are the fields that this
// deployment declares. If any part of the header cannot be parsed, the result is an empty report.
LoadReport parseLoadReport(std::string_view header, const std::vector<std::string>& knownFields);

}  // namespace stonewing
