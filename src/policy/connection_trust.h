#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/ids.h"
#include "policy/round_clock.h"

namespace stonewing {

// Decides whether a kept connection may carry another request.
//
// HTTP/1.1 matches responses to requests by their order on the connection alone. If a machine between the
// dispatcher and an endpoint writes a response twice, the repeat counts as the response to the next
// request, and each later response counts for the request after its own. So a connection is reused only after
// it has been quiet, and an endpoint on whose connections bytes arrived that belong to no request is trusted
// no longer for a time: each of its connections then carries one request.
//
// Owns: the endpoints that are not trusted. Input: unexpected bytes. Query: whether, and when, a connection
// may be reused.
class ConnectionTrust {
 public:
  explicit ConnectionTrust(const RoundClock& clock) : clock_(clock) {}  // must outlive the object

  // Bytes that belong to no request arrived on a connection to the endpoint.
  void recordUnexpectedBytes(EndpointId endpoint);

  // How long a connection to the endpoint must have been quiet since its last response before it may carry
  // another request, in milliseconds; no value if it may carry only one. endpointCount: of all known
  // endpoints.
  std::optional<Millis> quietBeforeReuse(EndpointId endpoint, std::size_t endpointCount) const;

 private:
  struct Distrust {
    Millis until{0};     // milliseconds of the policy's clock
    Millis duration{0};  // of the last period
  };

  // If several endpoints are not trusted, the cause is taken to be common to all of them.
  bool isTrusted(EndpointId endpoint, std::size_t endpointCount) const;
  std::size_t distrustedCount() const;

  const RoundClock& clock_;
  std::map<EndpointId, Distrust> distrust_;
};

}  // namespace stonewing
