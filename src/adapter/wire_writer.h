#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "adapter/wire_codes.h"
#include "base/bytes.h"
#include "base/ids.h"
#include "policy/decision.h"

namespace stonewing::wire {

// Collects the records of one reply to the simulator.
class Writer {
 public:
  // Appends the record of one decision of an instance.
  void write(std::uint32_t instance, const Decision& decision);
  // Appends the error text that ended an instance; at most 65,535 bytes of it are written.
  void writeFailure(std::uint32_t instance, std::string_view text);
  // Returns the whole reply to the batch of that number and empties the writer.
  std::string takeFrame(std::uint32_t batchNumber);

 private:
  template <class T>
  void put(T value) {
    putBytes(body_, value);
  }
  void beginRecord(ActionCode code, std::uint32_t instance);
  void putEndpoint(EndpointId endpoint);
  void putSeconds(Millis span) { put(span / kMillisPerSecond); }

  std::string body_;
  std::uint32_t recordCount_ = 0;
};

}  // namespace stonewing::wire
