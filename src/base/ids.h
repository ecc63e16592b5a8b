#pragma once

#include <compare>
#include <cstdint>

namespace stonewing {

template <class Tag, class Rep>
struct Id {
  Rep value{};
  auto operator<=>(const Id&) const = default;
};

using MessageId = Id<struct MessageTag, std::uint32_t>;
using EndpointId = Id<struct EndpointTag, std::uint64_t>;
using DestinationId = Id<struct DestinationTag, std::uint16_t>;
using KindId = Id<struct KindTag, std::uint8_t>;
using ZoneId = Id<struct ZoneTag, std::uint8_t>;
using TenantId = Id<struct TenantTag, std::uint16_t>;
using TrafficTypeId = Id<struct TrafficTypeTag, std::uint16_t>;
using OrderingKey = Id<struct OrderingKeyTag, std::uint64_t>;

// Times and spans are milliseconds with fractions.
using Millis = double;

}  // namespace stonewing
