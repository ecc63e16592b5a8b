#include <gtest/gtest.h>

#include <string>

#include "support/attempt_sender_harness.h"

// One request with the attempts of several messages.
namespace stonewing::testing {
namespace {

// Endpoints store a batch under the id of its first message. With the earliest deadline first, the first of
// seven messages failed at its deadline, the response then reported ok for all seven, and six of them were
// never counted as finished (experiments roll+brink+mass and zone+brink+mass).
TEST(AttemptBatch, BeginsWithTheMessageOfTheLatestDeadline) {
  AttemptSenderHarness harness;
  harness.accept("early", "status", 400);
  harness.accept("latest", "status", 9000);
  harness.accept("middle", "order", 2000);
  ASSERT_TRUE(harness.sendUpTo("early - 1\r\nx\r\n"));
  std::size_t body = harness.received.find("\r\n\r\n") + 4;
  EXPECT_EQ(harness.received.substr(body), "latest - 1\r\nx\r\nmiddle - 1\r\nx\r\nearly - 1\r\nx\r\n");
}

// If one attempt of a batch were cancelled alone, its message would be attempted again while the first
// request is pending. In a deployment that allows no second hedge, attempt 1 of a message was cancelled in a
// batch of six, attempt 2 was sent 345 ms later, and the endpoint answered the other five on the first
// request after that (experiment roll+brink+mass).
TEST(AttemptBatch, IsCancelledAsAWholeOrNotAtAll) {
  for (Hedges hedges : {Hedges::forbidden, Hedges::allowed}) {
    AttemptSenderHarness harness(hedges);
    for (const char* reference : {"one", "two", "three"}) harness.accept(reference, "status", 9000);
    ASSERT_TRUE(harness.sendUpTo("three - 1\r\nx\r\n"));
    harness.cancelAttempt("two");
    // While the request of this message is pending, a further attempt would be a hedge.
    EXPECT_EQ(harness.isPending("two"), hedges == Hedges::forbidden);
    harness.cancelAttempt("one");
    EXPECT_TRUE(harness.isPending("one"));  // the first message of the batch
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

// A message whose deadline passes is finished at once, and the request continues for the other messages.
TEST(AttemptBatch, GoesOnWhenTheDeadlineOfOneMessagePasses) {
  AttemptSenderHarness harness;
  harness.accept("late", "order", 9000);
  harness.accept("early", "status", 400);
  ASSERT_TRUE(harness.sendUpTo("early - 1\r\nx\r\n"));
  ASSERT_TRUE(harness.turnUntil([&] { return !harness.isPending("early"); }));
  EXPECT_TRUE(harness.isPending("late"));
  EXPECT_FALSE(harness.isClosed());
}

// If another attempt finishes the first message, this request can no longer deliver the other messages.
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
