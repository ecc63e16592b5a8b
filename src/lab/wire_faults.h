#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/experiment.h"

// What a faulty machine between a server and a dispatcher does to the responses that pass through it. Without
// sockets and clock: the caller passes responses and carries out the writes that it gets.
namespace stonewing::lab {

// Where a response comes from.
struct WireLocation {
  ResponseSource source{ResponseSource::endpoint};
  int endpoint{-1};  // for ResponseSource::endpoint
  int dispatcher{};
};

// Bytes to write to the dispatcher. Without bytes, only the fault is counted.
struct WireWrite {
  Millis delay{0};  // from now
  std::string bytes;
  bool closesAfter{false};
  bool isFault{false};  // whether this write is the work of a fault
  FaultKind fault{};    // valid if isFault
};

class WireFaults {
 public:
  // `experiment` must outlive the object. The same seed and the same calls yield the same writes.
  WireFaults(const Experiment& experiment, std::uint64_t seed) : experiment_(experiment), random_(seed) {}

  // A fault begins or ends. Faults of other kinds are ignored.
  void apply(const Fault& fault, bool begins);
  // What is written in place of a response, in the order of writing.
  std::vector<WireWrite> onResponse(const WireLocation& location, const std::string& response);
  // Whether a request is answered with kRejection instead of being passed on.
  bool rejectsRequest(const WireLocation& location);
  // What is written when a request arrives, before its response. `previousResponse`: of the connection; empty
  // for its first request.
  std::vector<WireWrite> onRequest(const WireLocation& location, const std::string& previousResponse);

 private:
  bool strikes(const Fault& fault, const WireLocation& location);
  Millis drawDelay(const Fault& fault);
  double drawPart(const Fault& fault);
  // Applies the active faults that alter the text of a response, and adds a write without bytes for each.
  std::string alteredText(const WireLocation& location, std::string response,
                          std::vector<WireWrite>& strikes);

  const Experiment& experiment_;
  std::mt19937 random_;
  std::vector<const Fault*> active_;
  std::map<std::pair<ResponseSource, int>, std::string> firstResponses_;  // by source and dispatcher
};

// The response to a request that WireFaults rejects.
inline constexpr const char* kRejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// Whether a fault of this kind is carried out by WireFaults.
bool isWireFault(FaultKind kind);

// The source of the response to a request, by the request's target.
ResponseSource responseSourceOf(std::string_view target);

}  // namespace stonewing::lab
