#include "lab/wire_faults.h"

#include <algorithm>
#include <cmath>

#include "lab/random_draws.h"

namespace stonewing::lab {
namespace {

constexpr std::string_view kInterimResponses =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
constexpr std::string_view kTrailingBytes = "\r\nnoise behind the body\r\n";
constexpr Millis kSplitInterval = 0.2;  // between two bytes of a split response

// The first `share` of a response, at least one byte of it.
std::string partOf(const std::string& response, double share) {
  auto length = static_cast<std::size_t>(std::ceil(share * static_cast<double>(response.size())));
  return response.substr(0, std::max<std::size_t>(1, length));
}

}  // namespace

bool isWireFault(FaultKind kind) {
  switch (kind) {
    case FaultKind::repeatedResponse:
    case FaultKind::earlyResponse:
    case FaultKind::trailingBytes:
    case FaultKind::interimResponse:
    case FaultKind::splitResponse:
    case FaultKind::delayedResponse:
    case FaultKind::closeAfterResponse:
      return true;
    default:
      return false;
  }
}

ResponseSource responseSourceOf(std::string_view target) {
  if (target.starts_with("/catalog/")) return ResponseSource::discovery;
  return target == "/reports" ? ResponseSource::platform : ResponseSource::endpoint;
}

void WireFaults::apply(const Fault& fault, bool begins) {
  if (!isWireFault(fault.kind)) return;
  if (begins) {
    active_.push_back(&fault);
  } else {
    std::erase(active_, &fault);
  }
}

bool WireFaults::strikes(const Fault& fault, const WireLocation& location) {
  if (fault.source != location.source) return false;
  if (location.source == ResponseSource::endpoint) {
    std::vector<int> affected = experiment_.affectedEndpoints(fault);
    if (!std::binary_search(affected.begin(), affected.end(), location.endpoint)) return false;
  }
  return uniform(random_) < fault.factor;
}

Millis WireFaults::drawDelay(const Fault& fault) {
  return fault.delayFrom + uniform(random_) * (fault.delayTo - fault.delayFrom);
}

std::vector<WireWrite> WireFaults::onResponse(const WireLocation& location, const std::string& response) {
  WireWrite original{.bytes = response};
  std::vector<WireWrite> before;
  std::vector<WireWrite> after;
  for (const Fault* fault : active_) {
    if (fault->kind == FaultKind::earlyResponse || !strikes(*fault, location)) continue;
    WireWrite work;
    work.isFault = true;
    work.fault = fault->kind;
    switch (fault->kind) {
      case FaultKind::repeatedResponse:
        work.bytes = partOf(response, fault->part);
        for (int copy = 0; copy < fault->times; ++copy) {
          work.delay = drawDelay(*fault);
          after.push_back(work);
        }
        break;
      case FaultKind::trailingBytes:
        work.bytes = kTrailingBytes;
        work.delay = drawDelay(*fault);
        after.push_back(work);
        break;
      case FaultKind::interimResponse:
        work.bytes = kInterimResponses;
        before.push_back(work);
        break;
      case FaultKind::splitResponse:
        original.bytes.clear();
        for (std::size_t position = 0; position < response.size(); ++position) {
          work.delay = static_cast<double>(position) * kSplitInterval;
          work.bytes = response.substr(position, 1);
          before.push_back(work);
        }
        break;
      case FaultKind::delayedResponse:
        original.delay = drawDelay(*fault);
        original.isFault = true;
        original.fault = fault->kind;
        break;
      case FaultKind::closeAfterResponse:
        work.closesAfter = true;
        work.delay = drawDelay(*fault);
        after.push_back(work);
        break;
      default:
        break;
    }
  }
  std::vector<WireWrite> writes = std::move(before);
  if (!original.bytes.empty()) writes.push_back(original);
  for (WireWrite& write : after) {
    write.delay += original.delay;
    writes.push_back(std::move(write));
  }
  return writes;
}

std::vector<WireWrite> WireFaults::onRequest(const WireLocation& location,
                                             const std::string& previousResponse) {
  std::vector<WireWrite> writes;
  if (previousResponse.empty()) return writes;
  for (const Fault* fault : active_) {
    if (fault->kind != FaultKind::earlyResponse || !strikes(*fault, location)) continue;
    writes.push_back({.delay = drawDelay(*fault),
                      .bytes = partOf(previousResponse, fault->part),
                      .isFault = true,
                      .fault = fault->kind});
  }
  return writes;
}

}  // namespace stonewing::lab
