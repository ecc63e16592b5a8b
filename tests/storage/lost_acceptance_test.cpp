#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>

#include "storage/message_store.h"
#include "support/message_store_fixture.h"

// Accepted messages whose record a full disk did not store, while another record of the same message is
// added.
namespace stonewing::testing {
namespace {

// Limits the size of all files of this process to `bytes` while it exists.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(std::size_t bytes) {
    ::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &previous_);
    rlimit limit = previous_;
    limit.rlim_cur = bytes;
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FileSizeLimit() { ::setrlimit(RLIMIT_FSIZE, &previous_); }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;

 private:
  rlimit previous_{};
};

// The record of an attempt may require a compaction, whose commit removes a message that the full disk did
// not store. An attempt of such a message must not be sent, and the store must not access the removed
// message.
TEST(MessageStore, RecordsNoAttemptOfAMessageThatIsLostWhileSpaceIsMade) {
  int lost = 0;
  // For some of these sizes, the message fits without a compaction, but its attempt does not.
  for (std::size_t bodyBytes = 19000; bodyBytes < 20500; bodyBytes += 10) {
    StoreFixture fixture;
    fixture.store.restore();
    auto delivered = fixture.accept("delivered", 18000);
    ASSERT_TRUE(delivered.has_value());
    fixture.store.commit();
    fixture.store.recordDelivered(*delivered);
    fixture.store.commit();
    FileSizeLimit limit(std::filesystem::file_size(fixture.directory.path / "journal") + 20);
    std::optional<MessageId> message = fixture.accept("message", bodyBytes);
    if (!message) continue;
    bool recorded = fixture.store.recordAttempt(*message, 0, {std::string(90, 'e'), {}, {}, {}}, 1);
    if (fixture.store.find(*message) != nullptr) continue;
    ++lost;
    EXPECT_FALSE(recorded) << bodyBytes;
    EXPECT_TRUE(fixture.store.isLostAcceptance(*message)) << bodyBytes;
  }
  EXPECT_GT(lost, 0);
}

}  // namespace
}  // namespace stonewing::testing
