#include "net/address.h"

#include <arpa/inet.h>

#include <cstdint>
#include <limits>
#include <string>

#include "net/number_parsing.h"

namespace stonewing {

std::optional<sockaddr_in> parseAddress(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::optional<std::uint64_t> port = parseWholeNumber(text.substr(colon + 1));
  if (!port || *port == 0 || *port > std::numeric_limits<std::uint16_t>::max()) return std::nullopt;

  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(*port));
  std::string host(text.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  return address;
}

}  // namespace stonewing
