#pragma once

#include <compare>
#include <cstdint>

// The ids of the domain, and the type of times. All are plain values.
namespace stonewing {

// A number that identifies something of one sort; `Tag` keeps ids of different sorts apart.
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

// A time or a span in milliseconds, with fractions. Which clock a time is of, its user says.
using Millis = double;

}  // namespace stonewing
