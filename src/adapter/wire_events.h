#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "policy/attempt_outcome.h"
#include "policy/endpoint_state.h"

// The simulator's events, one type for each record. Times are in milliseconds; the reader converts the wire's
// seconds.
namespace stonewing::wire {

// A new instance starts without any state. `settings`: the deployment's settings as JSON text.
struct InstanceCreated {
  std::uint32_t instance{};
  std::uint64_t seed{};
  std::string settings;
};

struct InstanceStopped {
  std::uint32_t instance{};
};

// The timer that the instance has set has expired.
struct TimerFired {
  std::uint32_t instance{};
};

// A client has disconnected; its message needs no answer any more.
struct ClientDisconnected {
  std::uint32_t instance{};
  MessageId message{};
};

// The first bytes of a response have arrived.
struct ResponseStarted {
  std::uint32_t instance{};
  MessageId message{};
  int attempt{};
};

// A note from another instance; this program sends none and reads none.
struct PeerNote {
  std::uint32_t instance{};
};

// A client submits a message.
struct MessageSubmitted {
  std::uint32_t instance{};
  MessageId message{};
  TrafficTypeId trafficType{};
  TenantId tenant{};
  OrderingKey orderingKey{};
  DestinationId destination{};
  Millis deadline{};  // on the simulator's clock
};

// The values of a load report, in the order of the settings' field names; empty if there was no report.
using LoadReportValues = std::vector<double>;

// An attempt has ended.
struct AttemptCompleted {
  std::uint32_t instance{};
  MessageId message{};
  int attempt{};
  AttemptOutcome outcome{};
  Millis elapsed{};
  bool isFinal{};       // the message is finished
  Millis retryAfter{};  // 0: none
  LoadReportValues loadReport;
};

struct HealthCheckCompleted {
  std::uint32_t instance{};
  EndpointId endpoint{};
  AttemptOutcome outcome{};
  LoadReportValues loadReport;
};

// One entry of an endpoint list.
struct EndpointListRow {
  EndpointId endpoint{};
  KindId kind{};
  DestinationId destination{};
  ZoneId zone{};
  double weight{};
  EndpointState state{};
};

// A numbered list of endpoints for the whole process; it replaces an earlier one of the same number.
struct EndpointListPage {
  std::uint8_t page{};
  std::vector<EndpointListRow> rows;
};

enum class EndpointListForm : std::uint8_t { cached = 0, full = 1, failed = 2, changes = 3 };

// An instance receives a numbered list, or the report that discovery has failed.
struct EndpointListShown {
  std::uint32_t instance{};
  EndpointListForm form{};
  std::uint8_t page{};
};

using Event = std::variant<InstanceCreated, InstanceStopped, TimerFired, ClientDisconnected, ResponseStarted,
                           PeerNote, MessageSubmitted, AttemptCompleted, HealthCheckCompleted,
                           EndpointListPage, EndpointListShown>;

}  // namespace stonewing::wire
