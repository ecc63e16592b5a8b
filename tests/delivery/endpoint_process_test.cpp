#include <gtest/gtest.h>

#include <string>

#include "support/attempt_sender_harness.h"

// A new process listens at the address of one that has gone (incident 479b48, picture d).
namespace stonewing::testing {
namespace {

constexpr int kLater = 9000;  // when a process started, later than another, in Unix milliseconds

TEST(EndpointProcess, NothingIsWrittenOnAConnectionToTheProcessBeforeTheLatest) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  harness.sendDecided();  // begins to connect
  harness.setEndpoint("in_service", kLater);
  harness.turnFor(50);
  EXPECT_FALSE(harness.isPending("one"));
  EXPECT_TRUE(harness.attemptsOf("one").at(0).provablyNotExecuted);
  harness.receiveUpTo("nothing", 0);
  EXPECT_TRUE(harness.received.empty());
}

TEST(EndpointProcess, NothingIsWrittenIfTheProcessChangesWhileTheAttemptIsJournaled) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
  ASSERT_TRUE(harness.respondAndFinishAll());
  harness.turnFor(kUntilReusable);
  harness.received.clear();
  harness.accept("two", "order", 9000);
  harness.sendDecided([&] { harness.setEndpoint("in_service", kLater); });
  harness.turnFor(50);
  harness.receiveUpTo("nothing", 0);
  EXPECT_TRUE(harness.received.empty());
}

TEST(EndpointProcess, ARestartedEndpointGetsItsRequestsOnNewConnections) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  ASSERT_TRUE(harness.sendUpTo("\r\n\r\nx"));
  ASSERT_TRUE(harness.respondAndFinishAll());
  harness.turnFor(kUntilReusable);
  harness.setEndpoint("in_service", kLater);
  harness.accept("two", "order", 9000);
  harness.sendDecided();
  EXPECT_TRUE(harness.turnUntil([&] { return harness.isClosed(); }));
}

TEST(EndpointProcess, AnEndpointWhoseAddressBelongsToALaterProcessIsRemoved) {
  AttemptSenderHarness harness;
  harness.accept("one", "order", 9000);
  harness.applyEntries({harness.entryAtListener("s-2", 8, "in_service", kLater)});
  EXPECT_EQ(harness.stateOf("s-1"), EndpointState::removed);
  EXPECT_EQ(harness.stateOf("s-2"), EndpointState::ready);
  harness.sendDecided();
  harness.turnFor(50);
  harness.receiveUpTo("nothing", 0);
  EXPECT_TRUE(harness.received.empty());
}

TEST(EndpointProcess, OfTwoEntriesAtOneAddressTheLaterProcessCounts) {
  AttemptSenderHarness harness;
  harness.applyEntries({harness.entryAtListener("s-2", 8, "in_service", kLater),
                        harness.entryAtListener("s-1", 7, "in_service", kLater - 1)});
  EXPECT_EQ(harness.stateOf("s-1"), EndpointState::removed);
  harness.setEndpoint("in_service", kLater - 1);  // discovery has not noticed yet
  EXPECT_EQ(harness.stateOf("s-1"), EndpointState::removed);
  harness.setEndpoint("in_service", kLater + 1);
  EXPECT_EQ(harness.stateOf("s-1"), EndpointState::ready);
  EXPECT_EQ(harness.stateOf("s-2"), EndpointState::removed);
}

}  // namespace
}  // namespace stonewing::testing
