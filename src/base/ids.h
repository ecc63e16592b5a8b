#pragma once

#include <compare>
#include <cstdint>

// The ids of the domain, and the type of times and durations. All are plain values.
namespace stonewing {

// The id of an object. `Tag` makes the ids of different kinds of objects distinct types, so that one cannot
// be passed in place of another.
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

// A time or a duration in milliseconds, with fractions. The code that uses a time states which clock it is
// of.
using Millis = double;

}  // namespace stonewing
