#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "base/bytes.h"
#include "base/ids.h"
#include "policy/decision.h"

namespace stonewing::wire {

enum EventCode : std::uint16_t {
  kAlarm = 1,
  kVanished = 2,
  kUnderWay = 3,
  kMail = 4,
  kCreate = 5,
  kStop = 6,
  kCompleted = 7,
  kView = 8,
  kDemand = 9,
  kProbeResult = 10,
  kSnapshotRows = 11,
};

enum ActionCode : std::uint16_t {
  kException = 65,
  kDropConns = 67,
  kAfter = 68,
  kWithdraw = 69,
  kTurnAway = 70,
  kAttempt = 71,
  kTest = 74,
  kRespondError = 75,
};

inline constexpr std::size_t kHeaderBytes = 20;
inline constexpr std::size_t kEndpointBytes = 6;  // of an endpoint id on the wire

class Reader : public ByteReader {
 public:
  using ByteReader::ByteReader;

  EndpointId endpoint() {
    std::string_view raw = text(kEndpointBytes, "endpoint");
    std::uint64_t value = 0;
    std::memcpy(&value, raw.data(), raw.size());
    return EndpointId{value};
  }
};

// Gathers the records of one reply.
class Writer {
 public:
  // Appends the record of one decision of an instance.
  void write(std::uint32_t instance, const Decision& decision);
  void failure(std::uint32_t who, std::string_view text);
  std::string frame(std::uint32_t number);

 private:
  template <class T>
  void put(T value) {
    putBytes(body_, value);
  }
  void begin(ActionCode code, std::uint32_t who);
  void putEndpoint(EndpointId endpoint);

  std::string body_;
  std::uint32_t count_ = 0;
};

}  // namespace stonewing::wire
