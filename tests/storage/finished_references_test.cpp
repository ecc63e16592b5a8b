#include "storage/finished_references.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace stonewing::testing {
namespace {

TEST(FinishedReferences, RemembersTheLatestAndForgetsTheOldestBeyondItsMemory) {
  constexpr std::size_t kMaxBytes = 10'000;
  FinishedReferences references(kMaxBytes);
  for (int n = 0; n < 1000; ++n) {
    references.add("m-" + std::to_string(n),
                   {n % 2 == 0 ? ExecutedOutcome::delivered : ExecutedOutcome::failed,
                    {static_cast<std::uint64_t>(n), 0}});
    EXPECT_LE(references.memoryBytes(), kMaxBytes);
  }
  EXPECT_EQ(references.find("m-998").value().outcome, ExecutedOutcome::delivered);
  EXPECT_EQ(references.find("m-999").value().outcome, ExecutedOutcome::failed);
  EXPECT_EQ(references.find("m-999").value().fingerprint, (MessageFingerprint{999, 0}));
  EXPECT_FALSE(references.find("m-0").has_value());
}

TEST(FinishedReferences, CountsAReferenceOnceAndKeepsItsLatestOutcome) {
  FinishedReferences references(10'000);
  references.add("m", {ExecutedOutcome::failed, {}});
  const std::size_t bytes = references.memoryBytes();
  references.add("m", {ExecutedOutcome::delivered, {}});
  EXPECT_EQ(references.find("m").value().outcome, ExecutedOutcome::delivered);
  EXPECT_EQ(references.memoryBytes(), bytes);
}

TEST(FinishedReferences, EncodesTheLatestThatFitOldestFirst) {
  FinishedReferences references(10'000);
  for (const char* reference : {"a", "b", "c"}) references.add(reference, {ExecutedOutcome::delivered, {}});
  const std::string all = references.encodeLatest(10'000);
  const std::size_t oneBytes = all.size() / 3;
  EXPECT_EQ(references.encodeLatest(3 * oneBytes), all);
  EXPECT_EQ(references.encodeLatest(3 * oneBytes - 1), all.substr(oneBytes));
  EXPECT_EQ(references.encodeLatest(oneBytes), all.substr(2 * oneBytes));
  EXPECT_EQ(references.encodeLatest(oneBytes - 1), "");
}

}  // namespace
}  // namespace stonewing::testing
