#include "lab/wire_faults.h"

#include <algorithm>
#include <cmath>

#include "lab/random_draws.h"
#include "net/number_parsing.h"

namespace stonewing::lab {
namespace {

constexpr std::string_view kInterimResponses =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
constexpr std::string_view kTrailingBytes = "\r\nnoise behind the body\r\n";
constexpr Millis kSplitInterval = 0.2;  // between two bytes of a split response
constexpr std::string_view kLengthHeader = "Content-Length: ";
constexpr std::uint64_t kOverstatedBytes = 10;

// The first `share` of a response.
std::string partOf(const std::string& response, double share) {
  auto length = static_cast<std::size_t>(std::ceil(share * static_cast<double>(response.size())));
  return response.substr(0, length);
}

// Whether a fault of this kind replaces, delays or adds writes of a response.
bool altersWrites(FaultKind kind) {
  switch (kind) {
    case FaultKind::earlyResponse:
    case FaultKind::overstatedLength:
    case FaultKind::outdatedResponse:
    case FaultKind::rejectedRequest:
      return false;
    default:
      return true;
  }
}

// The response with a body that is announced longer than it is; unchanged if it announces no length.
std::string withOverstatedLength(const std::string& response) {
  std::size_t position = response.find(kLengthHeader);
  if (position == std::string::npos) return response;
  position += kLengthHeader.size();
  std::size_t end = response.find("\r\n", position);
  std::string_view digits = std::string_view(response).substr(position, end - position);
  std::uint64_t length = parseWholeNumber(digits).value_or(0) + kOverstatedBytes;
  return response.substr(0, position) + std::to_string(length) + response.substr(end);
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
    case FaultKind::stalledResponse:
    case FaultKind::cutResponse:
    case FaultKind::overstatedLength:
    case FaultKind::outdatedResponse:
    case FaultKind::rejectedRequest:
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

double WireFaults::drawPart(const Fault& fault) { return fault.part < 1 ? fault.part : uniform(random_); }

std::string WireFaults::alteredText(const WireLocation& location, std::string response,
                                    std::vector<WireWrite>& strikes) {
  const std::string& first =
      firstResponses_.try_emplace({location.source, location.dispatcher}, response).first->second;
  for (const Fault* fault : active_) {
    bool isOutdated = fault->kind == FaultKind::outdatedResponse && first != response;
    if ((!isOutdated && fault->kind != FaultKind::overstatedLength) || !this->strikes(*fault, location))
      continue;
    response = isOutdated ? first : withOverstatedLength(response);
    strikes.push_back({.bytes = "", .isFault = true, .fault = fault->kind});
  }
  return response;
}

std::vector<WireWrite> WireFaults::onResponse(const WireLocation& location, const std::string& response) {
  std::vector<WireWrite> before;
  WireWrite original{.bytes = alteredText(location, response, before)};
  std::vector<WireWrite> after;
  for (const Fault* fault : active_) {
    if (!altersWrites(fault->kind) || !strikes(*fault, location)) continue;
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
      case FaultKind::stalledResponse:
        work.bytes = partOf(original.bytes, drawPart(*fault));
        original.bytes.erase(0, work.bytes.size());
        original.delay += drawDelay(*fault);
        before.push_back(work);
        break;
      case FaultKind::cutResponse:
        work.bytes = partOf(original.bytes, drawPart(*fault));
        work.closesAfter = true;
        original.bytes.clear();
        before.push_back(work);
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

bool WireFaults::rejectsRequest(const WireLocation& location) {
  return std::any_of(active_.begin(), active_.end(), [&](const Fault* fault) {
    return fault->kind == FaultKind::rejectedRequest && strikes(*fault, location);
  });
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
