#include "storage/journal.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/bytes.h"
#include "support/temporary_directory.h"

// The file format of the journal: versions, incomplete records at the end, and compaction.
namespace stonewing::testing {
namespace {

// Without this, an upgraded program would treat the journal of the earlier program as incomplete, and would
// truncate all accepted messages.
TEST(Journal, ReadsAndAppendsToVersionOneAndCompactsItIntoVersionTwo) {
  auto frameOfVersionOne = [](const std::string& record) {
    std::uint32_t checksum = 0xffffffffu;
    for (unsigned char byte : record) {
      checksum ^= byte;
      for (int bit = 0; bit < 8; ++bit)
        checksum = (checksum & 1) != 0 ? 0xedb88320u ^ (checksum >> 1) : checksum >> 1;
    }
    std::string bytes;
    putBytes(bytes, static_cast<std::uint32_t>(record.size()));
    putBytes(bytes, ~checksum);
    return bytes + record;
  };
  TemporaryDirectory folder;
  std::string path = (folder.path / "journal").string();
  std::ofstream(path) << frameOfVersionOne("old") << frameOfVersionOne("older") << "torn";
  std::vector<std::string> read;
  auto collect = [&](std::string_view record) { read.emplace_back(record); };
  {
    Journal journal(folder.path.string(), 100000);
    EXPECT_EQ(journal.replay(collect), 4u);
    ASSERT_TRUE(journal.append("new"));
    EXPECT_TRUE(journal.commit().empty());
  }
  read.clear();
  Journal journal(folder.path.string(), 100000);
  EXPECT_EQ(journal.replay(collect), 0u);
  EXPECT_EQ(read, (std::vector<std::string>{"old", "older", "new"}));
  ASSERT_TRUE(journal.beginCompaction() && journal.appendToCompaction(Journal::framed("old")) &&
              journal.installCompaction());
  ASSERT_TRUE(journal.append("newer"));
  EXPECT_TRUE(journal.commit().empty());
  read.clear();
  Journal(folder.path.string(), 100000).replay(collect);
  EXPECT_EQ(read, (std::vector<std::string>{"old", "newer"}));
}

TEST(Journal, LeavesAFileOfAnUnknownVersionUnchanged) {
  TemporaryDirectory folder;
  std::string path = (folder.path / "journal").string();
  const std::string bytes = "SWJ\3and what we cannot read";
  std::ofstream(path) << bytes;
  Journal journal(folder.path.string(), 100000);
  EXPECT_THROW(journal.replay([](std::string_view) {}), std::runtime_error);
  std::ifstream in(path);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(in), {}), bytes);
}

// A kill during a write leaves a partial record. If it were not removed, all records after it would be
// unreadable.
TEST(Journal, KeepsAllWholeRecordsAndAcceptsNewOnesWhenCutAtAnyByte) {
  TemporaryDirectory folder;
  std::string path = (folder.path / "journal").string();
  const std::string header = "SWJ\2";
  std::string bytes = header + Journal::framed("first") + Journal::framed("second");
  std::size_t firstRecordEnd = header.size() + Journal::framed("first").size();
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    std::ofstream(path, std::ios::trunc) << bytes.substr(0, cut);
    std::ofstream(path + ".new") << "a compaction that was interrupted";
    std::vector<std::string> read;
    auto collect = [&](std::string_view record) { read.emplace_back(record); };
    {
      Journal journal(folder.path.string(), 100000);
      std::size_t readable = cut < header.size()    ? 0
                             : cut < firstRecordEnd ? header.size()
                             : cut < bytes.size()   ? firstRecordEnd
                                                    : cut;
      EXPECT_EQ(journal.replay(collect), cut - readable);
      ASSERT_TRUE(journal.append("third"));
      EXPECT_TRUE(journal.commit().empty());
    }
    EXPECT_FALSE(std::filesystem::exists(path + ".new"));
    read.clear();
    Journal(folder.path.string(), 100000).replay(collect);
    std::vector<std::string> expected{"third"};
    if (cut == bytes.size()) expected.insert(expected.begin(), "second");
    if (cut >= firstRecordEnd) expected.insert(expected.begin(), "first");
    EXPECT_EQ(read, expected) << cut;
  }
}

// A folder may allow a journal that is many times larger than the memory of the process, which read it whole.
TEST(Journal, IsReadPieceByPiece) {
  TemporaryDirectory folder;
  constexpr int kRecords = 400;
  constexpr std::size_t kMaxBytes = 100'000'000;
  auto recordOf = [](int number) {
    return std::to_string(number) + std::string(static_cast<std::size_t>(number) * 197 % 70'000, 'x');
  };
  {
    Journal journal(folder.path.string(), kMaxBytes);
    journal.replay([](std::string_view) {});
    for (int n = 0; n < kRecords; ++n) ASSERT_TRUE(journal.append(recordOf(n)));
    EXPECT_TRUE(journal.commit().empty());
  }
  Journal journal(folder.path.string(), kMaxBytes);
  int read = 0;
  EXPECT_EQ(journal.replay([&](std::string_view record) { EXPECT_EQ(record, recordOf(read++)); }), 0u);
  EXPECT_EQ(read, kRecords);
}

}  // namespace
}  // namespace stonewing::testing
