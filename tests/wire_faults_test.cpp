#include "lab/wire_faults.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

// What the faults of discovery's answers write.
namespace stonewing::lab {
namespace {

const std::string kOld = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
const std::string kNew = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
constexpr WireLocation kDiscovery{ResponseSource::discovery, -1, 0};

struct WireFaultsHarness {
  Experiment experiment;
  WireFaults faults{experiment, 1};
  std::vector<Fault> active;

  explicit WireFaultsHarness(FaultKind kind, double part = 1) {
    Fault fault;
    fault.kind = kind;
    fault.source = ResponseSource::discovery;
    fault.delayFrom = fault.delayTo = 700;
    fault.part = part;
    active.push_back(fault);
    faults.apply(active.front(), true);
  }
};

TEST(WireFaults, AStalledResponseIsWrittenInTwoParts) {
  WireFaultsHarness harness(FaultKind::stalledResponse, 0.5);
  std::vector<WireWrite> writes = harness.faults.onResponse(kDiscovery, kNew);
  ASSERT_EQ(writes.size(), 2u);
  EXPECT_EQ(writes[0].bytes + writes[1].bytes, kNew);
  EXPECT_EQ(writes[0].delay, 0);
  EXPECT_EQ(writes[1].delay, 700);
}

TEST(WireFaults, ACutResponseEndsTheConnectionInItsMiddle) {
  WireFaultsHarness harness(FaultKind::cutResponse, 0.5);
  std::vector<WireWrite> writes = harness.faults.onResponse(kDiscovery, kNew);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_TRUE(writes[0].closesAfter);
  EXPECT_EQ(writes[0].bytes, kNew.substr(0, (kNew.size() + 1) / 2));
}

TEST(WireFaults, AnOverstatedLengthAnnouncesBytesThatDoNotCome) {
  WireFaultsHarness harness(FaultKind::overstatedLength);
  std::vector<WireWrite> writes = harness.faults.onResponse(kDiscovery, kNew);
  EXPECT_EQ(writes.back().bytes, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nnew");
}

TEST(WireFaults, AnOutdatedResponseIsTheFirstOneOfItsSource) {
  WireFaultsHarness harness(FaultKind::outdatedResponse);
  EXPECT_EQ(harness.faults.onResponse(kDiscovery, kOld).size(), 1u);  // nothing older: no fault strikes
  std::vector<WireWrite> writes = harness.faults.onResponse(kDiscovery, kNew);
  EXPECT_EQ(writes.back().bytes, kOld);
  EXPECT_TRUE(writes.front().isFault);
}

TEST(WireFaults, ARequestIsRejectedWhereTheFaultStrikes) {
  WireFaultsHarness harness(FaultKind::rejectedRequest);
  EXPECT_TRUE(harness.faults.rejectsRequest(kDiscovery));
  EXPECT_FALSE(harness.faults.rejectsRequest({ResponseSource::platform, -1, 0}));
}

}  // namespace
}  // namespace stonewing::lab
