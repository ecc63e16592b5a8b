#include "logging/rate_limit.h"

#include <gtest/gtest.h>

namespace stonewing::log {
namespace {

TEST(RateLimit, WritesABurstThenTheRateAndCountsTheRest) {
  RateLimit limit(10, 3);
  int written = 0;
  for (int line = 0; line < 8; ++line) written += limit.allow(1000) ? 1 : 0;
  EXPECT_EQ(written, 3);
  EXPECT_EQ(limit.takeSuppressed(), 5u);
  EXPECT_EQ(limit.takeSuppressed(), 0u);
  EXPECT_FALSE(limit.allow(1050));
  EXPECT_TRUE(limit.allow(1110));
}

}  // namespace
}  // namespace stonewing::log
