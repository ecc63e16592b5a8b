#include "admission/admission_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <set>

// Overload of the dispatcher itself: which messages are rejected, and with which Retry-After.
namespace stonewing::testing {
namespace {

AdmissionSettings admissionSettings() {
  AdmissionSettings settings;
  settings.maxInFlight = 100;
  settings.mayAdviseRetryAfter = true;
  settings.maxRetryAfter = 2000;
  settings.maxPriorityWeight = 2;
  settings.overQuotaWeightShare = 0.05;
  return settings;
}

TEST(AdmissionController, AcceptsEverythingWithoutOverload) {
  AdmissionController controller(admissionSettings(), 1);
  for (int n = 0; n < 50; ++n) controller.recordTurn(n, 5);
  EXPECT_TRUE(controller.decide({50, 99, 0.5}, 0.01, true).accepted);
  EXPECT_FALSE(controller.decide({50, 100, 0.5}, 2, false).accepted);
}

// Clients that submit without end must not use up what all share; one that has nothing in flight finds a
// place.
TEST(AdmissionController, RejectsTheClientsThatHoldMostBeforeTheLimitsAreReached) {
  AdmissionSettings settings = admissionSettings();
  settings.maxMessageBytes = 1'000'000;
  AdmissionController controller(settings, 1);
  AdmissionInputs inputs{.now = 10, .messagesInFlight = 95, .clientMessages = 80};
  EXPECT_TRUE(controller.decide(inputs, 2, false).accepted);
  inputs.clientMessages = 81;
  EXPECT_FALSE(controller.decide(inputs, 2, false).accepted);
  inputs = {.now = 10, .messagesInFlight = 20, .messageBytes = 900'000, .clientBytes = 400'000};
  EXPECT_TRUE(controller.decide(inputs, 2, false).accepted);
  inputs.clientBytes = 400'001;
  EXPECT_FALSE(controller.decide(inputs, 2, false).accepted);
  inputs = {.now = 10, .messagesInFlight = 20, .messageBytes = 900'000, .submittedBytes = 5'000};
  EXPECT_TRUE(controller.decide(inputs, 2, false).accepted);
  inputs.submittedBytes = 6'000;
  EXPECT_FALSE(controller.decide(inputs, 2, false).accepted);
  inputs = {.now = 10, .messagesInFlight = 20, .messageBytes = 999'999};
  EXPECT_TRUE(controller.decide(inputs, 0.01, true).accepted);
  inputs.messageBytes = 1'000'000;
  EXPECT_FALSE(controller.decide(inputs, 2, false).accepted);
}

// A loop that is behind answers every client too late. All clients would then submit again, and the loop
// would stay behind.
TEST(AdmissionController, RejectsTheLowestWeightsFirstWhileTheLoopIsBehindAndStopsSoonAfter) {
  AdmissionController controller(admissionSettings(), 1);
  controller.recordTurn(1000, 30);
  EXPECT_FALSE(controller.decide({1000, 10, 0}, 2, true).accepted);
  EXPECT_FALSE(controller.decide({1000, 10, 0}, 0.5, false).accepted);
  EXPECT_TRUE(controller.decide({1000, 10, 0}, 1, false).accepted);
  EXPECT_TRUE(controller.decide({1000, 10, 0}, 2, false).accepted);
  controller.recordTurn(1060, 100);
  EXPECT_FALSE(controller.decide({1060, 10, 0}, 2, false).accepted);
  for (int n = 1; n <= 8; ++n) controller.recordTurn(1060 + n, 2);
  EXPECT_TRUE(controller.decide({1070, 10, 0}, 0.01, true).accepted);
  controller.recordTurn(1100, 500);
  EXPECT_TRUE(controller.decide({9000, 10, 0}, 0.01, true).accepted);  // an idle loop also ends the pressure
}

// A turn that reads a burst of submissions would be over before its length is recorded, so the work within
// the turn counts.
TEST(AdmissionController, RejectsWithinTheTurnThatGrowsLong) {
  AdmissionController controller(admissionSettings(), 1);
  EXPECT_TRUE(controller.decide({1000, 10, 0, 0, 15}, 0.01, true).accepted);
  EXPECT_FALSE(controller.decide({1000, 10, 0, 0, 30}, 0.5, false).accepted);
  EXPECT_TRUE(controller.decide({1000, 10, 0, 0, 30}, 2, false).accepted);
  EXPECT_FALSE(controller.decide({1000, 10, 0, 0, 60}, 2, false).accepted);
}

// While the disk hangs, no message finishes. A Retry-After derived from the rate of finished messages would
// keep clients for seconds from submitting to other dispatchers, which could accept the messages.
TEST(AdmissionController, RejectsSoonWithAShortRetryAfterWhenTheDiskHangs) {
  AdmissionController controller(admissionSettings(), 1);
  EXPECT_TRUE(controller.decide({1000, 10, 0, 10}, 0.01, true).accepted);
  AdmissionDecision soon = controller.decide({1000, 10, 0, 100}, 2, false);
  EXPECT_FALSE(soon.accepted);
  EXPECT_LE(soon.retryAfter, 150);
  for (int n = 0; n < 50; ++n) EXPECT_LE(controller.decide({5000, 10, 0, 3000}, 2, false).retryAfter, 600);
}

TEST(AdmissionController, KeepsTheRestOfAFullJournalForHigherWeights) {
  AdmissionController controller(admissionSettings(), 1);
  EXPECT_TRUE(controller.decide({0, 10, 0.9}, 0.01, true).accepted);
  EXPECT_FALSE(controller.decide({0, 10, 0.95}, 0.9, false).accepted);
  EXPECT_TRUE(controller.decide({0, 10, 0.95}, 2, false).accepted);
  EXPECT_FALSE(controller.decide({0, 10, 1}, 2, false).accepted);
}

// With the same Retry-After for all, all rejected clients would return at the same moment.
TEST(AdmissionController, SpreadsRetryAfterByTheRateOfFinishedMessages) {
  AdmissionController controller(admissionSettings(), 1);
  for (int n = 0; n < 100; ++n) controller.recordFinished(n * 10.0);  // 100 per second
  std::set<int> distinct;
  Millis first = 0, last = 0;
  for (int n = 0; n < 40; ++n) {
    last = controller.decide({1000, 100, 0}, 2, false).retryAfter;
    if (n == 0) first = last;
    distinct.insert(static_cast<int>(last));
    EXPECT_GE(last, 20);
    EXPECT_LE(last, 2000);
  }
  EXPECT_GT(distinct.size(), 25u);
  EXPECT_GT(last, 3 * first);
  AdmissionSettings withoutAdvice = admissionSettings();
  withoutAdvice.mayAdviseRetryAfter = false;
  EXPECT_EQ(AdmissionController(withoutAdvice, 1).decide({0, 100, 0}, 2, false).retryAfter, 0);
}

RC_GTEST_PROP(AdmissionController, NeverAcceptsALowerWeightThanOneItRejects,
              (std::uint16_t work, std::uint16_t full)) {
  AdmissionController controller(admissionSettings(), 7);
  controller.recordTurn(10, work % 150);
  AdmissionInputs inputs{10, 50, (full % 110) / 100.0};
  bool rejectedHigher = false;
  for (double weight = 2; weight > 0; weight -= 0.1) {
    bool accepted = controller.decide(inputs, weight, false).accepted;
    RC_ASSERT(!(rejectedHigher && accepted));
    rejectedHigher = rejectedHigher || !accepted;
  }
}

}  // namespace
}  // namespace stonewing::testing
