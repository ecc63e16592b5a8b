#include "storage/submission_match.h"

namespace stonewing {

const char* nameOf(ReferenceHolder holder) {
  switch (holder) {
    case ReferenceHolder::inFlight:
      return "in_flight";
    case ReferenceHolder::delivered:
      return "delivered";
    case ReferenceHolder::failed:
      return "failed";
  }
  return "";
}

}  // namespace stonewing
