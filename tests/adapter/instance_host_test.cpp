#include "adapter/instance_host.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <cstring>
#include <string>

#include "base/errors.h"

// The simulator's wire: the host reads frames of packed event records and returns frames of decisions.
namespace stonewing::testing {
namespace {

const char* kSettings =
    R"({"request-classes":[{"aim-s":1,"deadline-s":5,"name":"status","effect":"safe","new-key":3}],
  "family-info":{"call-slots":4},"limits":{"open-cap":9,"max-attempts":3},"unheard-of":[1],
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

template <class... Fields>
std::string packed(Fields... fields) {
  std::string bytes;
  (bytes.append(reinterpret_cast<const char*>(&fields), sizeof fields), ...);
  return bytes;
}

std::string createRecord(std::uint32_t instance) {
  return packed(std::uint16_t{5}, instance, std::uint64_t{1},
                static_cast<std::uint32_t>(std::strlen(kSettings))) +
         kSettings;
}

// A record with an endpoint list of one entry; viewRecord makes an instance receive the list.
std::string endpointListRecord() {
  return packed(std::uint16_t{11}, std::uint8_t{0}, std::uint32_t{1}, std::uint32_t{0x0a0b0c0d},
                std::uint16_t{8000}, std::uint8_t{0}, std::uint16_t{57}, std::uint8_t{0}, 0.0, 1.0f,
                std::uint8_t{1});
}

std::string viewRecord(std::uint32_t instance, std::uint8_t list = 0) {
  return packed(std::uint16_t{8}, instance, std::uint32_t{1}, std::uint8_t{0}, list);
}

std::string messageRecord(std::uint32_t instance, std::uint32_t message, std::uint16_t type = 0) {
  return packed(std::uint16_t{9}, instance, message, type, std::uint16_t{0}, std::uint64_t{0}, 105.0, 0.0,
                57.0f, std::uint8_t{0});
}

TEST(InstanceHost, SendsAcceptedMessagesAndKeepsInstancesApart) {
  InstanceHost host;
  host.handleBatch(1, 5, 100,
                   createRecord(1) + createRecord(2) + endpointListRecord() + viewRecord(1) + viewRecord(2));
  std::string reply = host.handleBatch(2, 1, 100.005, messageRecord(1, 7));
  SendAttempt attempt{MessageId{7}, EndpointId{0x0a0b0c0dull | 8000ull << 32}, 0, 4995};
  wire::Writer expected;
  expected.write(1, attempt);
  EXPECT_NE(reply.find(expected.takeFrame(2).substr(12, 16)), std::string::npos);
  EXPECT_EQ(
      host.handleBatch(3, 1, 100.01, packed(std::uint16_t{1}, std::uint32_t{2}, std::uint64_t{0})).size(),
      12u);
}

TEST(InstanceHost, NamesWhatIsWrongInAFrame) {
  auto throws = [](std::uint32_t records, const std::string& body, const std::string& part) {
    InstanceHost host;
    try {
      host.handleBatch(1, records, 100, body);
      ADD_FAILURE() << "accepted: " << part;
    } catch (const Error& problem) {
      EXPECT_NE(std::string(problem.what()).find(part), std::string::npos) << problem.what();
    }
  };
  throws(1, createRecord(1).substr(0, 30), "facts");
  throws(1, packed(std::uint16_t{99}), "unknown record code 99");
  throws(2, createRecord(1) + viewRecord(1),
         "endpoint list 0 is shown, but no record with its endpoints was received");
  throws(0, std::string(3, 'x'), "the batch body has more bytes than its records");
  throws(1, packed(std::uint16_t{6}), "who");
}

TEST(InstanceHost, ReportsAFailureOfThePolicy) {
  InstanceHost host;
  std::string reply = host.handleBatch(1, 2, 100, createRecord(1) + messageRecord(1, 7, 42));
  EXPECT_NE(reply.find("unknown traffic type"), std::string::npos);
}

}  // namespace
}  // namespace stonewing::testing
