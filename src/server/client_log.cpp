#include "server/client_log.h"

#include "logging/log.h"

namespace stonewing {
namespace {

constexpr Millis kCountersIntervalMs = 10'000;

bool isOrdinary(ClientCloseCause cause) {
  return cause == ClientCloseCause::endedByClient || cause == ClientCloseCause::idle ||
         cause == ClientCloseCause::draining;
}

}  // namespace

void ClientLog::clientClosed(const ClientRecord& client, ClientCloseCause cause, Millis now) {
  ++counters_.closed.at(static_cast<std::size_t>(cause));
  const log::Level level = isOrdinary(cause) ? log::Level::debug : log::Level::info;
  if (!log::isEnabled(level)) return;
  if (!log::isEnabled(log::Level::debug) && !closeLines_.allow(now)) return;
  log::event(level, "client.closed",
             {{"client", client.number},
              {"cause", nameOf(cause)},
              {"age_ms", client.age},
              {"commands", client.commands},
              {"deferrals", client.deferrals},
              {"unread_bytes", client.unreadBytes},
              {"unsent_bytes", client.unsentBytes},
              {"suppressed", closeLines_.takeSuppressed()}});
}

void ClientLog::logCounters(Millis now, std::size_t clients, std::size_t bytes, std::size_t peakBytes) {
  if (now < countersDueAt_ || counters_ == loggedCounters_) return;
  countersDueAt_ = now + kCountersIntervalMs;
  loggedCounters_ = counters_;
  log::info("client.counters", {{"clients", clients},
                                {"bytes", bytes},
                                {"peak_bytes", peakBytes},
                                {"accepted", counters_.accepted},
                                {"deferrals", counters_.deferrals},
                                {"ended_by_client", counters_.closedBy(ClientCloseCause::endedByClient)},
                                {"reset_by_client", counters_.closedBy(ClientCloseCause::resetByClient)},
                                {"protocol_error", counters_.closedBy(ClientCloseCause::protocolError)},
                                {"idle", counters_.closedBy(ClientCloseCause::idle)},
                                {"stalled", counters_.closedBy(ClientCloseCause::stalled)},
                                {"out_of_memory", counters_.closedBy(ClientCloseCause::outOfMemory)},
                                {"replaced", counters_.closedBy(ClientCloseCause::replaced)},
                                {"draining", counters_.closedBy(ClientCloseCause::draining)},
                                {"not_watched", counters_.closedBy(ClientCloseCause::notWatched)}});
}

}  // namespace stonewing
