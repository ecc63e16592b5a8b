#include "policy/response_plausibility.h"

#include <gtest/gtest.h>

// Which responses on a kept connection came too early to belong to their requests.
namespace stonewing::testing {
namespace {

struct PlausibilityHarness {
  RoundClock clock;
  ResponsePlausibility plausibility{clock};
  Endpoint endpoint;

  PlausibilityHarness() { clock.beginRound(1000); }
  void recordCertain(Millis writtenAt, Millis responseTime, bool isDelivery = true) {
    plausibility.recordResponse(endpoint, {writtenAt, responseTime, isDelivery}, ResponseProof::certain);
  }
  bool isTooEarly(Millis responseTime, bool isDelivery = true) const {
    return ResponsePlausibility::isTooEarly(endpoint, {0, responseTime, isDelivery});
  }
};

TEST(ResponsePlausibility, ComparesWithTheFastestResponseOfTheSameKind) {
  PlausibilityHarness harness;
  EXPECT_FALSE(harness.isTooEarly(1));  // nothing is known
  harness.recordCertain(0, 500);
  harness.recordCertain(0, 200);
  harness.recordCertain(0, 800);
  EXPECT_TRUE(harness.isTooEarly(49));
  EXPECT_FALSE(harness.isTooEarly(51));
  EXPECT_FALSE(harness.isTooEarly(1, false));  // rejections come sooner
  harness.recordCertain(0, 120, false);
  EXPECT_TRUE(harness.isTooEarly(29, false));
  EXPECT_FALSE(harness.isTooEarly(31, false));
  EXPECT_TRUE(harness.isTooEarly(49));
}

TEST(ResponsePlausibility, IgnoresDifferencesThatSchedulingMakes) {
  PlausibilityHarness harness;
  harness.recordCertain(0, 20);
  EXPECT_FALSE(harness.isTooEarly(0));
}

TEST(ResponsePlausibility, ConfirmsAnEarlyResponseOnlyByAResponseToALaterRequest) {
  for (Millis answeredWrittenAt : {90.0, 110.0}) {
    PlausibilityHarness harness;
    harness.recordCertain(0, 300);
    harness.recordCertain(answeredWrittenAt, 300);
    EXPECT_EQ(harness.plausibility.confirm(harness.endpoint, {100, 10, true}), answeredWrittenAt > 100);
    EXPECT_EQ(ResponsePlausibility::needsProof(harness.endpoint), answeredWrittenAt < 100);
  }
}

// Two repeats must not confirm each other.
TEST(ResponsePlausibility, AnotherEarlyResponseByOrderAloneConfirmsNothing) {
  PlausibilityHarness harness;
  harness.recordCertain(0, 300);
  harness.plausibility.recordResponse(harness.endpoint, {110, 12, true}, ResponseProof::byOrderAlone);
  EXPECT_FALSE(harness.plausibility.confirm(harness.endpoint, {100, 10, true}));
  harness.plausibility.recordResponse(harness.endpoint, {120, 250, true}, ResponseProof::byOrderAlone);
  EXPECT_TRUE(harness.plausibility.confirm(harness.endpoint, {110, 12, true}));
}

// An endpoint that became faster is known to be so after one later response, so that its messages are not
// sent twice for long.
TEST(ResponsePlausibility, LearnsFromAnUnconfirmedResponseOnceTheEndpointResponds) {
  PlausibilityHarness harness;
  harness.recordCertain(0, 300);
  ASSERT_FALSE(harness.plausibility.confirm(harness.endpoint, {100, 10, true}));
  EXPECT_TRUE(harness.isTooEarly(11));
  harness.recordCertain(500, 300);
  EXPECT_FALSE(ResponsePlausibility::needsProof(harness.endpoint));
  EXPECT_FALSE(harness.isTooEarly(11));
}

TEST(ResponsePlausibility, LearnsNothingFromAResponseThatUnexpectedBytesContradict) {
  PlausibilityHarness harness;
  harness.recordCertain(0, 300);
  ASSERT_FALSE(harness.plausibility.confirm(harness.endpoint, {100, 10, true}));
  ResponsePlausibility::recordUnexpectedBytes(harness.endpoint);
  harness.recordCertain(500, 300);
  EXPECT_TRUE(harness.isTooEarly(11));
}

TEST(WindowedMinimum, ForgetsOldValuesOnlyForNewerOnes) {
  WindowedMinimum minimum(100);
  EXPECT_FALSE(minimum.value().has_value());
  minimum.add(5, 0);
  minimum.add(7, 99);
  EXPECT_EQ(minimum.value(), 5);
  minimum.add(9, 100);
  EXPECT_EQ(minimum.value(), 5);  // the period before still counts
  minimum.add(8, 250);
  EXPECT_EQ(minimum.value(), 8);
}

}  // namespace
}  // namespace stonewing::testing
