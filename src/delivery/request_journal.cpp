#include "delivery/request_journal.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"

namespace stonewing {

void RequestJournal::remove(const EndpointConnection& connection) {
  std::erase(ready_, &connection);
  std::erase(awaitingCommit_, &connection);
}

void RequestJournal::recordReady() {
  for (EndpointConnection* connection : std::exchange(ready_, {})) {
    record(*connection);
    awaitingCommit_.push_back(connection);
  }
}

void RequestJournal::record(EndpointConnection& connection) {
  const DiscoveredEndpoint* endpoint = discovery_.find(connection.endpoint());
  for (const BatchedAttempt& attempt : connection.attempts()) {
    if (attempt.isFinished()) continue;
    bool isRecorded = endpoint != nullptr &&
                      store_.recordAttempt(attempt.message, attempt.attempt, endpoint->record, wallNow());
    if (!isRecorded) connection.setStartFailure(EndpointConnection::StartFailure::localResources);
  }
}

std::vector<EndpointConnection*> RequestJournal::takeCommitted() {
  for (EndpointConnection* connection : awaitingCommit_) {
    const std::vector<BatchedAttempt>& attempts = connection->attempts();
    bool isAnyLost = std::any_of(attempts.begin(), attempts.end(), [this](const BatchedAttempt& attempt) {
      return !attempt.isFinished() && isRecordLost(attempt);
    });
    if (isAnyLost) connection->setStartFailure(EndpointConnection::StartFailure::localResources);
  }
  return std::exchange(awaitingCommit_, {});
}

// The record of the attempt was lost, or that of its message.
bool RequestJournal::isRecordLost(const BatchedAttempt& attempt) const {
  return store_.find(attempt.message) == nullptr || store_.isLostAttempt(attempt.message, attempt.attempt);
}

}  // namespace stonewing
