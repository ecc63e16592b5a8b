#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace stonewing {

// Parses an IPv4 address with a port, such as "10.0.0.4:6379". Host names are not resolved. No value if the
// text is anything else, or the port is 0.
std::optional<sockaddr_in> parseAddress(std::string_view text);

}  // namespace stonewing
