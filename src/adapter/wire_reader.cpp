#include "adapter/wire_reader.h"

#include <cmath>
#include <cstring>
#include <string>

#include "adapter/wire_codes.h"
#include "base/errors.h"

namespace stonewing::wire {
namespace {

constexpr double kLargestDestination = 0xffff;

EndpointState endpointStateOf(std::uint8_t code) {
  switch (code) {
    case 0:
      return EndpointState::removed;
    case 1:
      return EndpointState::ready;
    case 2:
      return EndpointState::draining;
    default:
      throw ProtocolError("field phase is not 0, 1 or 2: " + std::to_string(code));
  }
}

AttemptOutcome outcomeOf(std::uint16_t code) {
  switch (code) {
    case 10:
      return AttemptOutcome::completed;
    case 20:
      return AttemptOutcome::error;
    case 30:
      return AttemptOutcome::rejected;
    case 40:
      return AttemptOutcome::timeout;
    case 50:
      return AttemptOutcome::connectFailed;
    case 60:
      return AttemptOutcome::reset;
    case 70:
      return AttemptOutcome::cancelled;
    case 80:
      return AttemptOutcome::notSent;
    default:
      throw ProtocolError("field ending is not 10, 20, 30, 40, 50, 60, 70 or 80: " + std::to_string(code));
  }
}

EndpointListForm endpointListFormOf(std::uint8_t code) {
  if (code > static_cast<std::uint8_t>(EndpointListForm::changes)) {
    throw ProtocolError("field form is not 0, 1, 2 or 3: " + std::to_string(code));
  }
  return static_cast<EndpointListForm>(code);
}

}  // namespace

double requireFinite(double value, const char* field) {
  if (!std::isfinite(value)) throw ProtocolError(std::string("field ") + field + " is not a finite number");
  return value;
}

BatchHeader readHeader(std::string_view bytes) {
  ByteReader in(bytes);
  BatchHeader header;
  header.number = in.get<std::uint32_t>("number");
  header.bodyBytes = in.get<std::uint32_t>("length");
  header.recordCount = in.get<std::uint32_t>("records");
  header.clockSeconds = in.get<double>("clock");
  return header;
}

Event Reader::next() {
  const auto code = bytes_.get<std::uint16_t>("code");
  const auto event = static_cast<EventCode>(code);
  if (event == EventCode::endpointListPage) return endpointListPage();
  if (event == EventCode::endpointListShown) return endpointListShown();
  if (event < EventCode::timerFired || event > EventCode::endpointListPage) {
    throw ProtocolError("unknown record code " + std::to_string(code));
  }
  const auto instance = bytes_.get<std::uint32_t>("who");
  switch (event) {
    case EventCode::timerFired:
      return timerFired(instance);
    case EventCode::clientDisconnected:
      return clientDisconnected(instance);
    case EventCode::responseStarted:
      return responseStarted(instance);
    case EventCode::peerNote:
      return peerNote(instance);
    case EventCode::instanceCreated:
      return instanceCreated(instance);
    case EventCode::attemptCompleted:
      return attemptCompleted(instance);
    case EventCode::messageSubmitted:
      return messageSubmitted(instance);
    case EventCode::healthCheckCompleted:
      return healthCheckCompleted(instance);
    default:
      return InstanceStopped{instance};
  }
}

EndpointId Reader::endpoint() {
  std::string_view raw = bytes_.text(kEndpointBytes, "endpoint");
  std::uint64_t value = 0;
  std::memcpy(&value, raw.data(), raw.size());
  return EndpointId{value};
}

Millis Reader::millisFromSeconds(const char* field) {
  return requireFinite(bytes_.get<double>(field), field) * kMillisPerSecond;
}

LoadReportValues Reader::loadReport() {
  LoadReportValues values;
  const auto count = bytes_.get<std::uint8_t>("load");
  for (std::size_t index = 0; index < count; ++index) values.push_back(bytes_.get<float>("load"));
  return values;
}

EndpointListRow Reader::endpointListRow() {
  EndpointListRow row;
  row.endpoint = endpoint();
  row.kind = KindId{bytes_.get<std::uint8_t>("generation-hw")};
  row.destination = DestinationId{bytes_.get<std::uint16_t>("dest")};
  row.zone = ZoneId{bytes_.get<std::uint8_t>("rack-zone")};
  bytes_.get<double>("boot-time-s");
  row.weight = requireFinite(bytes_.get<float>("share"), "share");
  row.state = endpointStateOf(bytes_.get<std::uint8_t>("phase"));
  return row;
}

EndpointListPage Reader::endpointListPage() {
  EndpointListPage list;
  list.page = bytes_.get<std::uint8_t>("page");
  if (list.page >= kEndpointListPages) {
    throw ProtocolError("field page is " + std::to_string(list.page) + ", above the limit of 15");
  }
  const auto count = bytes_.get<std::uint32_t>("records");
  for (std::uint32_t row = 0; row < count; ++row) list.rows.push_back(endpointListRow());
  return list;
}

EndpointListShown Reader::endpointListShown() {
  EndpointListShown shown;
  shown.instance = bytes_.get<std::uint32_t>("who");
  bytes_.get<std::uint32_t>("epoch");
  const auto form = bytes_.get<std::uint8_t>("form");
  shown.page = bytes_.get<std::uint8_t>("page");
  shown.form = endpointListFormOf(form);
  return shown;
}

InstanceCreated Reader::instanceCreated(std::uint32_t instance) {
  const auto seed = bytes_.get<std::uint64_t>("init-seed");
  const auto length = bytes_.get<std::uint32_t>("facts");
  return {instance, seed, std::string(bytes_.text(length, "facts"))};
}

TimerFired Reader::timerFired(std::uint32_t instance) {
  bytes_.get<std::uint64_t>("label");
  return {instance};
}

ClientDisconnected Reader::clientDisconnected(std::uint32_t instance) {
  return {instance, MessageId{bytes_.get<std::uint32_t>("rid")}};
}

ResponseStarted Reader::responseStarted(std::uint32_t instance) {
  const MessageId message{bytes_.get<std::uint32_t>("rid")};
  const int attempt = bytes_.get<std::uint8_t>("round-no");
  endpoint();
  bytes_.get<double>("spent-s");
  return {instance, message, attempt};
}

PeerNote Reader::peerNote(std::uint32_t instance) {
  bytes_.get<std::uint32_t>("src");
  bytes_.text(bytes_.get<std::uint16_t>("payload"), "payload");
  return {instance};
}

MessageSubmitted Reader::messageSubmitted(std::uint32_t instance) {
  MessageSubmitted submitted;
  submitted.instance = instance;
  submitted.message = MessageId{bytes_.get<std::uint32_t>("rid")};
  submitted.trafficType = TrafficTypeId{bytes_.get<std::uint16_t>("lane")};
  submitted.tenant = TenantId{bytes_.get<std::uint16_t>("customer")};
  submitted.orderingKey = OrderingKey{bytes_.get<std::uint64_t>("entity")};
  submitted.deadline = millisFromSeconds("client-deadline-s");
  bytes_.get<double>("expected-s");
  const double destination = requireFinite(bytes_.get<float>("dest"), "dest");
  bytes_.get<std::uint8_t>("bits");
  if (destination < 0 || destination > kLargestDestination)
    throw ProtocolError("field dest is not in 0..65535");
  submitted.destination = DestinationId{static_cast<std::uint16_t>(destination)};
  return submitted;
}

AttemptCompleted Reader::attemptCompleted(std::uint32_t instance) {
  AttemptCompleted completed;
  completed.instance = instance;
  completed.message = MessageId{bytes_.get<std::uint32_t>("rid")};
  completed.attempt = bytes_.get<std::uint8_t>("round-no");
  endpoint();
  completed.outcome = outcomeOf(bytes_.get<std::uint16_t>("ending"));
  completed.elapsed = millisFromSeconds("spent-s");
  completed.isFinal = bytes_.get<std::uint8_t>("terminal") != 0;
  const Millis holdMillis = bytes_.get<std::uint32_t>("hold-ms");
  // For other outcomes the field is not a time.
  completed.retryAfter = completed.outcome == AttemptOutcome::rejected ? holdMillis : 0;
  completed.loadReport = loadReport();
  return completed;
}

HealthCheckCompleted Reader::healthCheckCompleted(std::uint32_t instance) {
  HealthCheckCompleted completed;
  completed.instance = instance;
  completed.endpoint = endpoint();
  completed.outcome = outcomeOf(bytes_.get<std::uint16_t>("ending"));
  bytes_.get<double>("spent-s");
  completed.loadReport = loadReport();
  return completed;
}

}  // namespace stonewing::wire
