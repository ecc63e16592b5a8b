#include "adapter/wire_writer.h"

#include <bit>
#include <utility>
#include <variant>

#include "base/overloaded.h"

namespace stonewing::wire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

namespace {

constexpr std::size_t kMaxFailureBytes = 0xffff;  // the wire's length field has 16 bits
constexpr std::uint64_t kTimerLabel = 0;          // each instance has only one timer

}  // namespace

void Writer::beginRecord(ActionCode code, std::uint32_t instance) {
  put(static_cast<std::uint16_t>(code));
  put(instance);
  ++recordCount_;
}

void Writer::putEndpoint(EndpointId endpoint) {
  body_.append(reinterpret_cast<const char*>(&endpoint.value), kEndpointBytes);
}

void Writer::write(std::uint32_t instance, const Decision& decision) {
  std::visit(Overloaded{
                 [&](const SendAttempt& attempt) {
                   beginRecord(ActionCode::sendAttempt, instance);
                   put(attempt.message.value);
                   putEndpoint(attempt.endpoint);
                   putSeconds(attempt.timeout);
                 },
                 [&](const CancelAttempt& cancellation) {
                   beginRecord(ActionCode::cancelAttempt, instance);
                   put(cancellation.message.value);
                   put(static_cast<std::uint8_t>(cancellation.attempt));
                 },
                 [&](const ShedMessage& shed) {
                   beginRecord(ActionCode::shedMessage, instance);
                   put(shed.message.value);
                   putSeconds(shed.retryAfter);
                 },
                 [&](const FailMessage& failure) {
                   beginRecord(ActionCode::failMessage, instance);
                   put(failure.message.value);
                 },
                 [&](const SendHealthCheck& check) {
                   beginRecord(ActionCode::sendHealthCheck, instance);
                   putEndpoint(check.endpoint);
                 },
                 [&](const CloseIdleConnection& idle) {
                   beginRecord(ActionCode::closeIdleConnection, instance);
                   putEndpoint(idle.endpoint);
                 },
                 [&](const SetTimer& timer) {
                   beginRecord(ActionCode::setTimer, instance);
                   put(kTimerLabel);
                   putSeconds(timer.at);
                 },
             },
             decision);
}

void Writer::writeFailure(std::uint32_t instance, std::string_view text) {
  text = text.substr(0, kMaxFailureBytes);
  beginRecord(ActionCode::instanceFailed, instance);
  put(static_cast<std::uint16_t>(text.size()));
  body_.append(text);
}

std::string Writer::takeFrame(std::uint32_t batchNumber) {
  const std::string records = std::exchange(body_, {});
  put(batchNumber);
  put(std::exchange(recordCount_, 0));
  put(static_cast<std::uint32_t>(records.size()));
  std::string frame = std::exchange(body_, {});
  frame += records;
  return frame;
}

}  // namespace stonewing::wire
