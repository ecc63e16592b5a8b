#include "delivery/outcome_notifier.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <chrono>
#include <string>
#include <thread>

#include "support/attempt_sender_harness.h"
#include "support/dispatcher_settings.h"

// Notifications to a platform whose responses are repeated.
namespace stonewing::testing {
namespace {

// A notifier without a dispatcher; the test acts as the platform.
struct NotifierHarness : AttemptSenderHarness {
  int platform = listenOnLoopback();
  OutcomeNotifier notifier{loop, store, *parseAddress("127.0.0.1:" + std::to_string(localPort(platform))),
                           "p"};

  ~NotifierHarness() { ::close(platform); }

  void fail(const std::string& reference) {
    accept(reference, "order", 9000);
    store.addPendingNotification(ids.at(reference), FinalOutcome::failed, 0);
  }

  // Turns until the condition holds, with the notifier.
  bool notifyUntil(const std::function<bool()>& condition, Millis timeout = 1000) {
    return eventually(timeout, [&] {
      turn();
      notifier.onTick();
      return condition();
    });
  }

  // Accepts the notifier's next connection; -1 if none comes within 100 ms.
  int acceptConnection() {
    pollfd waiting{platform, POLLIN, 0};
    bool isWaiting = notifyUntil([&] { return ::poll(&waiting, 1, 0) > 0; }, 100);
    return isWaiting ? ::accept4(platform, nullptr, nullptr, SOCK_CLOEXEC) : -1;
  }
};

// A 204 repeated on a kept connection confirmed the next request, and its notifications were lost.
TEST(OutcomeNotifier, ARepeatedConfirmationConfirmsNoOtherNotification) {
  NotifierHarness harness;
  harness.fail("one");
  int first = harness.acceptConnection();
  ASSERT_GE(first, 0);
  sendBytes(first, kHttpNoContent);
  ASSERT_TRUE(harness.notifyUntil([&] { return harness.notifier.idle(); }));
  harness.fail("two");
  Millis sentAt = harness.loop.now();
  harness.notifyUntil([&] { return harness.loop.now() > sentAt + 20; });
  sendBytes(first, kHttpNoContent);  // the repeat
  harness.notifyUntil([&] { return harness.loop.now() > sentAt + 40; });
  EXPECT_EQ(harness.store.pendingNotifications().size(), 1u);
  ::close(first);
}

// A confirmation that arrived while a journal write took long was taken for silence, and the notification was
// sent twice.
TEST(OutcomeNotifier, AConfirmationThatArrivedDuringALongTurnIsReadBeforeItCountsAsMissing) {
  NotifierHarness harness;
  harness.fail("one");
  int connection = harness.acceptConnection();
  ASSERT_GE(connection, 0);
  harness.notifyUntil([] { return false; }, 20);
  sendBytes(connection, kHttpNoContent);
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  ASSERT_TRUE(harness.loop.refreshTime(100));  // as at the end of a turn
  harness.notifier.onTick();
  EXPECT_TRUE(harness.notifier.idle());
  ::close(connection);
}

// Many notifications one after the other share requests.
TEST(OutcomeNotifier, SpacesItsConnections) {
  NotifierHarness harness;
  int connections = 0;
  Millis began = harness.loop.now();
  for (int number = 0; harness.loop.now() < began + 100; ++number) {
    harness.fail("m" + std::to_string(number));
    harness.turn();
    harness.notifier.onTick();
    pollfd waiting{harness.platform, POLLIN, 0};
    if (::poll(&waiting, 1, 0) <= 0) continue;
    int connection = ::accept4(harness.platform, nullptr, nullptr, SOCK_CLOEXEC);
    sendBytes(connection, kHttpNoContent);
    ::close(connection);
    ++connections;
  }
  EXPECT_GT(connections, 2);
  EXPECT_LE(connections, 21);  // one in 5 ms
}

}  // namespace
}  // namespace stonewing::testing
