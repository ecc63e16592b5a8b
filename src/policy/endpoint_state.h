#pragma once

namespace stonewing {

// Whether an endpoint may be used, according to the endpoint list.
enum class EndpointState {
  removed,  // no longer in the list
  ready,
  draining  // accepts no further attempts
};

}  // namespace stonewing
