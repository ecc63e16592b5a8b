#include <gtest/gtest.h>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

#include "settings/settings_reader.h"
#include "storage/message_identity.h"
#include "storage/message_store.h"
#include "storage/record_codec.h"
#include "support/temporary_directory.h"

// Journals that the program of commit 4dcfc7e wrote must be read by the present program, so that an upgraded
// dispatcher continues with the state of its predecessor. The bytes were written by the message store of that
// program, with the messages that recordMessages() below records. For the file of version 1, the first record
// was written with the CRC-32 of that version, so that the program continued in version 1.
namespace stonewing::testing {
namespace {

// A header ("SWJ" and the version), then records with an XXH3 checksum.
constexpr std::string_view kVersionTwoHex =
    "53574a02570000006a2ff49a01010000000004e41205ae79420200000032610b000000696e2d666c696768742d312300"
    "0000633d6f726465722c743d776573742c643d383030302c6b3d356330662c646573743d370a0000006c616d7020370d"
    "0a00ff4000000045ffc8bb010200000000500f1105ae79420200000030300b00000064656c6976657265642d32150000"
    "00633d7374617475732c643d3530302c646573743d3901000000783b000000ec78f629010300000000600f1105ae7942"
    "02000000303006000000736865642d3315000000633d7374617475732c643d3530302c646573743d3901000000783c00"
    "000028071acf010400000000700f1105ae7942020000003030080000006661696c65642d3414000000633d6f72646572"
    "2c643d3530302c646573743d3901000000783f0000009e1a96ec010500000000800f1105ae79420200000030300b0000"
    "00636f6e6669726d65642d3514000000633d6f726465722c643d3530302c646573743d39010000007851000000792079"
    "b301060000000068f01005ae794210000000666666666666666666666666666666660b000000696e2d666c696768742d"
    "3619000000633d7374617475732c643d312e352c646573743d363535333500000000190000004fdcd414020100000003"
    "000000732d31070001000048f61005ae79420019000000723ff0f6020100000003000000732d3208000001008cfc1005"
    "ae79420019000000e7ec51d7020200000003000000732d330900000000c0021105ae79420009000000019ab065030100"
    "00000000000005000000bd6c7ff80502000000180000005d051f2d040300000006000000736865642d33020000000000"
    "506f401a000000fa301e120404000000080000006661696c65642d340100000000000000001d000000f2ad8a4d040500"
    "00000b000000636f6e6669726d65642d3501000000000000000005000000976d90230505000000";

// No header, and records with a CRC-32 checksum.
constexpr std::string_view kVersionOneHex =
    "57000000f74409a801010000000004e41205ae79420200000032610b000000696e2d666c696768742d3123000000633d"
    "6f726465722c743d776573742c643d383030302c6b3d356330662c646573743d370a0000006c616d7020370d0a00ff40"
    "0000005fbf52dd010200000000500f1105ae79420200000030300b00000064656c6976657265642d3215000000633d73"
    "74617475732c643d3530302c646573743d3901000000783b00000064bcd223010300000000600f1105ae794202000000"
    "303006000000736865642d3315000000633d7374617475732c643d3530302c646573743d3901000000783c000000f7b6"
    "fac6010400000000700f1105ae7942020000003030080000006661696c65642d3414000000633d6f726465722c643d35"
    "30302c646573743d3901000000783f000000249f9a3a010500000000800f1105ae79420200000030300b000000636f6e"
    "6669726d65642d3514000000633d6f726465722c643d3530302c646573743d3901000000785100000005401121010600"
    "00000068f01005ae794210000000666666666666666666666666666666660b000000696e2d666c696768742d36190000"
    "00633d7374617475732c643d312e352c646573743d36353533350000000019000000227c5f5d02010000000300000073"
    "2d31070001000048f61005ae79420019000000b12e9e72020100000003000000732d3208000001008cfc1005ae794200"
    "19000000d791f404020200000003000000732d330900000000c0021105ae79420009000000f5282e1303010000000000"
    "000005000000e6b0cba405020000001800000084b2eca9040300000006000000736865642d33020000000000506f401a"
    "000000121148890404000000080000006661696c65642d340100000000000000001d000000310624ce04050000000b00"
    "0000636f6e6669726d65642d35010000000000000000050000005f881c390505000000";

constexpr const char* kSettings = R"({"request-classes":[
    {"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"},
    {"name":"order","aim-s":1,"deadline-s":10,"effect":"unsafe"}],
  "orgs":[{"name":"north","quota-per-s":5},{"name":"south","quota-per-s":5},{"name":"west","quota-per-s":5}],
  "family-info":{"call-slots":6,"per-call":[1,20]},"kinds":["plain","many"],"zones":["a","b"],
  "limits":{"open-cap":50,"max-attempts":5,"cancel":true,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

constexpr std::size_t kMaxBytes = 60000;

std::string bytesOf(std::string_view hex) {
  std::string bytes;
  for (std::size_t offset = 0; offset < hex.size(); offset += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(offset, 2)), nullptr, 16)));
  }
  return bytes;
}

std::string readFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Records the messages of the journals above: six messages, each record type, and a different value in every
// field.
void recordMessages(MessageStore& store) {
  auto accept = [&](const char* orderingKey, const char* reference, const char* fields,
                    const std::string& body, Millis wall) {
    return *store.accept(store.decode(orderingKey, reference, fields, body, wall));
  };
  MessageId attempted = accept("2a", "in-flight-1", "c=order,t=west,d=8000,k=5c0f,dest=7",
                               std::string("lamp 7\r\n\0\xff", 10), 1764700000000.25);
  MessageId delivered = accept("00", "delivered-2", "c=status,d=500,dest=9", "x", 1764700000001);
  MessageId shed = accept("00", "shed-3", "c=status,d=500,dest=9", "x", 1764700000002);
  MessageId failed = accept("00", "failed-4", "c=order,d=500,dest=9", "x", 1764700000003);
  MessageId confirmed = accept("00", "confirmed-5", "c=order,d=500,dest=9", "x", 1764700000004);
  accept("ffffffffffffffff", "in-flight-6", "c=status,d=1.5,dest=65535", "", 1764700000005);
  store.commit();
  store.recordAttempt(attempted, 0, {"s-1", DestinationId{7}, KindId{1}, ZoneId{0}}, 1764700000100.5);
  store.recordAttempt(attempted, 1, {"s-2", DestinationId{8}, KindId{0}, ZoneId{1}}, 1764700000200.75);
  store.recordAttempt(delivered, 0, {"s-3", DestinationId{9}, KindId{0}, ZoneId{0}}, 1764700000300);
  store.recordNotExecuted(attempted, 0);
  store.commit();
  store.recordDelivered(delivered);
  store.addPendingNotification(shed, FinalOutcome::shed, 250.5);
  store.addPendingNotification(failed, FinalOutcome::failed, 0);
  store.addPendingNotification(confirmed, FinalOutcome::failed, 0);
  store.confirmNotification(confirmed);
  store.commit();
}

void expectAttempt(const AttemptRecord& attempt, const EndpointRecord& endpoint, Millis sentWall,
                   bool provablyNotExecuted) {
  EXPECT_EQ(attempt.endpoint.name, endpoint.name);
  EXPECT_EQ(attempt.endpoint.destination, endpoint.destination);
  EXPECT_EQ(attempt.endpoint.kind, endpoint.kind);
  EXPECT_EQ(attempt.endpoint.zone, endpoint.zone);
  EXPECT_EQ(attempt.sentWall, sentWall);
  EXPECT_EQ(attempt.provablyNotExecuted, provablyNotExecuted);
  EXPECT_TRUE(attempt.journaled);
}

void expectAttemptedMessage(const StoredMessage& message) {
  EXPECT_EQ(message.reference, "in-flight-1");
  EXPECT_EQ(message.idempotencyKey, "5c0f");
  EXPECT_EQ(*message.body, std::string("lamp 7\r\n\0\xff", 10));
  EXPECT_EQ(message.type, TrafficTypeId{1});
  EXPECT_EQ(message.tenant, TenantId{2});
  EXPECT_EQ(message.orderingKey, OrderingKey{0x2a});
  EXPECT_EQ(message.destination, DestinationId{7});
  EXPECT_EQ(message.deadlineWall, 1764700008000.25);
  ASSERT_EQ(message.attempts.size(), 2u);
  expectAttempt(message.attempts[0], {"s-1", DestinationId{7}, KindId{1}, ZoneId{0}}, 1764700000100.5, true);
  expectAttempt(message.attempts[1], {"s-2", DestinationId{8}, KindId{0}, ZoneId{1}}, 1764700000200.75,
                false);
}

void expectMinimalMessage(const StoredMessage& message) {
  EXPECT_EQ(message.reference, "in-flight-6");
  EXPECT_EQ(message.idempotencyKey, "");
  EXPECT_EQ(*message.body, "");
  EXPECT_EQ(message.type, TrafficTypeId{0});
  EXPECT_EQ(message.tenant, TenantId{0});
  EXPECT_EQ(message.orderingKey, OrderingKey{0xffffffffffffffff});
  EXPECT_EQ(message.destination, DestinationId{65535});
  EXPECT_EQ(message.deadlineWall, 1764700000006.5);
  EXPECT_TRUE(message.attempts.empty());
}

void expectNotification(const OutcomeNotification& notification, const char* reference, FinalOutcome result,
                        Millis retryAfter) {
  EXPECT_EQ(notification.reference, reference);
  EXPECT_EQ(notification.result, result);
  EXPECT_EQ(notification.retryAfter, retryAfter);
}

void expectRecordedMessages(const MessageStore& store) {
  ASSERT_EQ(store.inFlight().size(), 2u);
  ASSERT_TRUE(store.inFlight().contains(MessageId{1}));
  ASSERT_TRUE(store.inFlight().contains(MessageId{6}));
  expectAttemptedMessage(store.inFlight().at(MessageId{1}));
  expectMinimalMessage(store.inFlight().at(MessageId{6}));
  ASSERT_EQ(store.pendingNotifications().size(), 2u);
  ASSERT_TRUE(store.pendingNotifications().contains(MessageId{3}));
  ASSERT_TRUE(store.pendingNotifications().contains(MessageId{4}));
  expectNotification(store.pendingNotifications().at(MessageId{3}), "shed-3", FinalOutcome::shed, 250.5);
  expectNotification(store.pendingNotifications().at(MessageId{4}), "failed-4", FinalOutcome::failed, 0);
  EXPECT_EQ(store.idOf("in-flight-1"), MessageId{1});
  EXPECT_EQ(store.idOf("in-flight-6"), MessageId{6});
}

struct EarlierJournal {
  const char* version;
  std::string_view hex;
};
// Failures print the version instead of the whole file.
void PrintTo(const EarlierJournal& journal, std::ostream* out) { *out << journal.version; }

class JournalCompatibility : public ::testing::TestWithParam<EarlierJournal> {};
INSTANTIATE_TEST_SUITE_P(Versions, JournalCompatibility,
                         ::testing::Values(EarlierJournal{"VersionOne", kVersionOneHex},
                                           EarlierJournal{"VersionTwo", kVersionTwoHex}),
                         [](const auto& info) { return std::string(info.param.version); });

TEST_P(JournalCompatibility, RestoresEveryFieldOfAnEarlierJournal) {
  TemporaryDirectory directory;
  const std::string bytes = bytesOf(GetParam().hex);
  std::ofstream(directory.path / "journal", std::ios::binary) << bytes;
  NameTables names = readNameTables(kSettings);
  MessageStore store(names, directory.path.string(), kMaxBytes);
  EXPECT_EQ(store.restore(), 0u);
  expectRecordedMessages(store);
  EXPECT_EQ(readFile(directory.path / "journal"), bytes);  // restoring does not change the file
  // The ids that the earlier process assigned are not used again.
  EXPECT_EQ(store.accept(store.decode("0", "next", "c=status,d=1,dest=1", "", 0)), MessageId{7});
}

// The messages of an earlier process can still be restored after this process has appended to the journal.
TEST_P(JournalCompatibility, RestoresAnEarlierJournalThatThisProgramAppendedTo) {
  TemporaryDirectory directory;
  std::ofstream(directory.path / "journal", std::ios::binary) << bytesOf(GetParam().hex);
  NameTables names = readNameTables(kSettings);
  {
    MessageStore store(names, directory.path.string(), kMaxBytes);
    store.restore();
    auto added = store.accept(store.decode("0", "added-7", "c=status,d=1,dest=1", "new", 0));
    ASSERT_TRUE(added.has_value());
    store.commit();
    store.recordDelivered(*added);
    store.commit();
  }
  EXPECT_GT(readFile(directory.path / "journal").size(), bytesOf(GetParam().hex).size());
  MessageStore restored(names, directory.path.string(), kMaxBytes);
  EXPECT_EQ(restored.restore(), 0u);
  expectRecordedMessages(restored);
}

// After a return to the earlier build, that build must be able to read the journal of the present one.
TEST(JournalFormat, IsTheSameByteForByteAsThatOfTheEarlierProgram) {
  TemporaryDirectory directory;
  NameTables names = readNameTables(kSettings);
  MessageStore store(names, directory.path.string(), kMaxBytes);
  store.restore();
  recordMessages(store);
  EXPECT_EQ(readFile(directory.path / "journal"), bytesOf(kVersionTwoHex));
}

// Later programs must be able to read what compacted journals of this one hold of ended messages.
TEST(JournalFormat, HasTheBytesOfAnExecutedMessage) {
  const std::string bytes = bytesOf(
      "06000000000600000064652d31233701080706050403020118171615141312"
      "11");
  const ExecutedRecord record{"de-1#7",
                              {ExecutedOutcome::delivered, {0x0102030405060708, 0x1112131415161718}}};
  EXPECT_EQ(encodeExecuted(record), bytes);
  const auto decoded = std::get<ExecutedRecord>(decodeRecordBody(bytes));
  EXPECT_EQ(decoded.reference, record.reference);
  EXPECT_EQ(decoded.message.outcome, record.message.outcome);
  EXPECT_EQ(decoded.message.fingerprint, record.message.fingerprint);
}

// The fingerprint of a stored message must not depend on the program that computes it.
TEST(JournalFormat, HasTheFingerprintOfAMessage) {
  NameTables names = readNameTables(kSettings);
  TemporaryDirectory directory;
  MessageStore store(names, directory.path.string(), kMaxBytes);
  const StoredMessage message = store.decode("2a", "any", "c=order,t=west,d=8000,k=5c0f,dest=7",
                                             std::string("lamp 7\r\n\0\xff", 10), 0);
  EXPECT_EQ(fingerprintOf(message, names), (MessageFingerprint{0xd8a90461572e6296, 0x6a39e4701322ef4e}));
}

}  // namespace
}  // namespace stonewing::testing
