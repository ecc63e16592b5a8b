#include <gtest/gtest.h>

#include <cstring>

#include "adapter/instance_host.h"
#include "settings/settings_reader.h"

namespace stonewing {
namespace {

const char* kFacts =
    R"({"request-classes":[{"aim-s":1,"deadline-s":5,"name":"status","effect":"safe","new-key":3}],
  "family-info":{"call-slots":4},"limits":{"open-cap":9,"max-attempts":3},"unheard-of":[1],
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

template <class... Fields>
std::string packed(Fields... fields) {
  std::string bytes;
  (bytes.append(reinterpret_cast<const char*>(&fields), sizeof fields), ...);
  return bytes;
}

std::string createRecord(std::uint32_t who) {
  return packed(std::uint16_t{5}, who, std::uint64_t{1}, static_cast<std::uint32_t>(std::strlen(kFacts))) +
         kFacts;
}

std::string pageRecord() {
  return packed(std::uint16_t{11}, std::uint8_t{0}, std::uint32_t{1}, std::uint32_t{0x0a0b0c0d},
                std::uint16_t{8000}, std::uint8_t{0}, std::uint16_t{57}, std::uint8_t{0}, 0.0, 1.0f,
                std::uint8_t{1});
}

std::string viewRecord(std::uint32_t who, std::uint8_t page = 0) {
  return packed(std::uint16_t{8}, who, std::uint32_t{1}, std::uint8_t{0}, page);
}

std::string demandRecord(std::uint32_t who, std::uint32_t id, std::uint16_t type = 0) {
  return packed(std::uint16_t{9}, who, id, type, std::uint16_t{0}, std::uint64_t{0}, 105.0, 0.0, 57.0f,
                std::uint8_t{0});
}

TEST(Host, LaunchesWhatIsTakenAndKeepsInstancesApart) {
  InstanceHost host;
  host.batch(1, 5, 100, createRecord(1) + createRecord(2) + pageRecord() + viewRecord(1) + viewRecord(2));
  std::string reply = host.batch(2, 1, 100.005, demandRecord(1, 7));
  SendAttempt launch{MessageId{7}, EndpointId{0x0a0b0c0dull | 8000ull << 32}, 0, 4995};
  wire::Writer expected;
  expected.write(1, launch);
  EXPECT_NE(reply.find(expected.frame(2).substr(12, 16)), std::string::npos);
  EXPECT_EQ(host.batch(3, 1, 100.01, packed(std::uint16_t{1}, std::uint32_t{2}, std::uint64_t{0})).size(),
            12u);
}

TEST(Host, NamesWhatIsWrongInAFrame) {
  auto throws = [](std::uint32_t records, const std::string& body, const std::string& part) {
    InstanceHost host;
    try {
      host.batch(1, records, 100, body);
      ADD_FAILURE() << "taken: " << part;
    } catch (const Error& problem) {
      EXPECT_NE(std::string(problem.what()).find(part), std::string::npos) << problem.what();
    }
  };
  throws(1, createRecord(1).substr(0, 30), "facts");
  throws(1, packed(std::uint16_t{99}), "unknown record code 99");
  throws(2, createRecord(1) + viewRecord(1), "never sent");
  throws(0, std::string(3, 'x'), "left over");
  throws(1, packed(std::uint16_t{6}), "who");
}

TEST(Host, ReportsAFailureOfTheModule) {
  InstanceHost host;
  std::string reply = host.batch(1, 2, 100, createRecord(1) + demandRecord(1, 7, 42));
  EXPECT_NE(reply.find("unknown traffic type"), std::string::npos);
}

TEST(Facts, SkipUnknownKeysAndNameAMissingOne) {
  EXPECT_EQ(readDeploymentSettings(kFacts).maxConcurrentRequests, 4);
  std::string text = kFacts;
  text.replace(text.find("open-cap"), 8, "xxxx-xxx");
  try {
    readDeploymentSettings(text);
    ADD_FAILURE();
  } catch (const Error& problem) {
    EXPECT_NE(std::string(problem.what()).find("open-cap"), std::string::npos);
  }
  EXPECT_THROW(readDeploymentSettings("nonsense"), SettingsError);
}

}  // namespace
}  // namespace stonewing
