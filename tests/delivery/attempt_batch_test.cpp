#include <gtest/gtest.h>

#include <string>

#include "support/attempt_sender_harness.h"

// One request that carries the attempts of several messages.
namespace stonewing::testing {
namespace {

// Seen on roll+brink+mass and zone+brink+mass: the first of seven messages was failed at its deadline, then
// the response said ok for all seven, and six of them were never counted as finished.
TEST(AttemptBatch, BeginsWithTheMessageOfTheLatestDeadline) {
  AttemptSenderHarness harness;
  harness.accept("early", "status", 400);
  harness.accept("latest", "status", 9000);
  harness.accept("middle", "order", 2000);
  ASSERT_TRUE(harness.sendUpTo("early - 1\r\nx\r\n"));
  std::size_t body = harness.received.find("\r\n\r\n") + 4;
  EXPECT_EQ(harness.received.substr(body), "latest - 1\r\nx\r\nmiddle - 1\r\nx\r\nearly - 1\r\nx\r\n");
}

// Seen on roll+brink+mass of a deployment that allows no second hedge: "attempt.ended attempt=1
// ending=cancelled" out of a batch of six, "attempt.sent attempt=2" 345 ms later, and the other five
// answered on the first request after that.
TEST(AttemptBatch, IsCancelledAsAWholeOrNotAtAll) {
  for (Hedges hedges : {Hedges::forbidden, Hedges::allowed}) {
    AttemptSenderHarness harness(hedges);
    for (const char* reference : {"one", "two", "three"}) harness.accept(reference, "status", 9000);
    ASSERT_TRUE(harness.sendUpTo("three - 1\r\nx\r\n"));
    harness.cancelAttempt("two");
    EXPECT_EQ(
        harness.isPending("two"),
        hedges == Hedges::forbidden);  // while its request is pending, another attempt of it would be a hedge
    harness.cancelAttempt("one");
    EXPECT_TRUE(harness.isPending("one"));  // the first
    harness.turn();
    EXPECT_FALSE(harness.isClosed());
    harness.cancelAttempt("three");
    for (const char* reference : {"one", "two", "three"})
      EXPECT_FALSE(harness.isPending(reference)) << reference;
    EXPECT_TRUE(eventually(1000, [&] { return harness.isClosed(); }));
  }
}

TEST(AttemptBatch, CompletesAMessageWhoseCancellationWasRequested) {
  AttemptSenderHarness harness;
  harness.accept("one", "status", 9000);
  harness.accept("two", "status", 9000);
  ASSERT_TRUE(harness.sendUpTo("two - 1\r\nx\r\n"));
  harness.cancelAttempt("two");
  sendBytes(harness.connection, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\none ok\r\ntwo ok\r\n");
  ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("one"); }));
  EXPECT_EQ(harness.store.inFlight().size(), 0u);
}

// A message whose deadline passes is finished at once; the rest of the batch goes on.
TEST(AttemptBatch, GoesOnWhenTheDeadlineOfOneMessagePasses) {
  AttemptSenderHarness harness;
  harness.accept("late", "order", 9000);
  harness.accept("early", "status", 400);
  ASSERT_TRUE(harness.sendUpTo("early - 1\r\nx\r\n"));
  ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("early"); }));
  EXPECT_TRUE(harness.isPending("late"));
  EXPECT_FALSE(harness.isClosed());
}

// The first message may be finished by another attempt. The rest cannot be delivered by this request any
// more.
TEST(AttemptBatch, EndsWithItsFirstMessage) {
  AttemptSenderHarness harness;
  harness.accept("first", "status", 9000);
  harness.accept("second", "status", 8000);
  ASSERT_TRUE(harness.sendUpTo("second - 1\r\nx\r\n"));
  harness.policy.cancelMessage(harness.ids["first"]);
  harness.cancelAttempt("first");
  EXPECT_FALSE(harness.isPending("second"));
  EXPECT_TRUE(eventually(1000, [&] { return harness.isClosed(); }));
}

}  // namespace
}  // namespace stonewing::testing
