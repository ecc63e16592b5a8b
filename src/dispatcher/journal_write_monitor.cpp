#include "dispatcher/journal_write_monitor.h"

#include "logging/log.h"

namespace stonewing {
namespace {

// A quarter of the time that a client waits for its reply, from which on clients notice the delay.
constexpr Millis kReportAfter = 100;

}  // namespace

void JournalWriteMonitor::recordHanging(Millis now, std::size_t messagesInFlight) {
  if (!hangingSince_) hangingSince_ = now;
  if (reported_ || now < *hangingSince_ + kReportAfter) return;
  reported_ = true;
  log::warn("journal.write_hanging", {{"for_ms", now - *hangingSince_}, {"in_flight", messagesInFlight}});
}

void JournalWriteMonitor::recordCompleted(Millis now) {
  if (reported_) log::warn("journal.write_recovered", {{"for_ms", hangingFor(now)}});
  reported_ = false;
  hangingSince_.reset();
}

Millis JournalWriteMonitor::hangingFor(Millis now) const { return hangingSince_ ? now - *hangingSince_ : 0; }

std::optional<Millis> JournalWriteMonitor::reportDue() const {
  if (!hangingSince_ || reported_) return std::nullopt;
  return *hangingSince_ + kReportAfter;
}

}  // namespace stonewing
