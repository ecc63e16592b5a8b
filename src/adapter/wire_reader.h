#pragma once

#include <cstdint>
#include <string_view>

#include "adapter/wire_events.h"
#include "base/bytes.h"

namespace stonewing::wire {

// The header of a batch of events.
struct BatchHeader {
  std::uint32_t number{};
  std::uint32_t bodyBytes{};
  std::uint32_t recordCount{};
  double clockSeconds{};
};

// Reads a header of kHeaderBytes.
BatchHeader readHeader(std::string_view bytes);

// Returns the value. Throws ProtocolError, whose text names the field, if the value is not a finite number.
double requireFinite(double value, const char* field);

// Reads the records of one batch in order. The bytes must outlive the reader.
class Reader {
 public:
  explicit Reader(std::string_view body) : bytes_(body) {}

  // Reads the next record. Throws ParseError if the bytes end inside it, ProtocolError if a field has a value
  // that is not allowed.
  Event next();
  bool isAtEnd() const { return bytes_.atEnd(); }

 private:
  EndpointId endpoint();
  Millis millisFromSeconds(const char* field);
  LoadReportValues loadReport();
  EndpointListRow endpointListRow();
  EndpointListPage endpointListPage();
  EndpointListShown endpointListShown();
  InstanceCreated instanceCreated(std::uint32_t instance);
  ClientDisconnected clientDisconnected(std::uint32_t instance);
  ResponseStarted responseStarted(std::uint32_t instance);
  TimerFired timerFired(std::uint32_t instance);
  PeerNote peerNote(std::uint32_t instance);
  MessageSubmitted messageSubmitted(std::uint32_t instance);
  AttemptCompleted attemptCompleted(std::uint32_t instance);
  HealthCheckCompleted healthCheckCompleted(std::uint32_t instance);

  ByteReader bytes_;
};

}  // namespace stonewing::wire
