#include "adapter/wire.h"

#include <algorithm>
#include <bit>
#include <utility>
#include <variant>

#include "base/overloaded.h"

namespace stonewing::wire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

namespace {
constexpr double kMillisPerSecond = 1000.0;
}

void Writer::begin(ActionCode code, std::uint32_t who) {
  put(static_cast<std::uint16_t>(code));
  put(who);
  ++count_;
}

void Writer::putEndpoint(EndpointId endpoint) {
  body_.append(reinterpret_cast<const char*>(&endpoint.value), kEndpointBytes);
}

void Writer::write(std::uint32_t instance, const Decision& decision) {
  std::visit(Overloaded{
                 [&](const SendAttempt& d) {
                   begin(kAttempt, instance);
                   put(d.message.value);
                   putEndpoint(d.endpoint);
                   put(d.timeout / kMillisPerSecond);
                 },
                 [&](const CancelAttempt& d) {
                   begin(kWithdraw, instance);
                   put(d.message.value);
                   put(static_cast<std::uint8_t>(d.attempt));
                 },
                 [&](const ShedMessage& d) {
                   begin(kTurnAway, instance);
                   put(d.message.value);
                   put(d.retryAfter / kMillisPerSecond);
                 },
                 [&](const FailMessage& d) {
                   begin(kRespondError, instance);
                   put(d.message.value);
                 },
                 [&](const SendHealthCheck& d) {
                   begin(kTest, instance);
                   putEndpoint(d.endpoint);
                 },
                 [&](const CloseIdleConnection& d) {
                   begin(kDropConns, instance);
                   putEndpoint(d.endpoint);
                 },
                 [&](const SetTimer& d) {
                   begin(kAfter, instance);
                   put(std::uint64_t{0});  // the timer's label; there is one timer
                   put(d.at / kMillisPerSecond);
                 },
             },
             decision);
}

void Writer::failure(std::uint32_t who, std::string_view text) {
  text = text.substr(0, 0xffff);
  begin(kException, who);
  put(static_cast<std::uint16_t>(text.size()));
  body_.append(text);
}

std::string Writer::frame(std::uint32_t number) {
  std::string body = std::exchange(body_, {});
  put(number);
  put(std::exchange(count_, 0));
  put(static_cast<std::uint32_t>(body.size()));
  std::string whole = std::exchange(body_, {});
  return whole + body;
}

}  // namespace stonewing::wire
