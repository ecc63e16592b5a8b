#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "storage/background_writer.h"

namespace stonewing {

// A file of records that outlives the process: each with its length and a check sum, written whole. It begins
// with three letters and a version byte; one without them is of the first version, whose records have another
// sum, and goes on as it is until it is rewritten.
class Journal {
 public:
  // Throws where the folder cannot be used, or holds a journal of a version we do not know. mostBytes bounds
  // the file, and a rewrite of it beside it. aside: a thread of its own writes.
  Journal(const std::string& folder, std::size_t mostBytes, bool aside = false);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Reads all records; a torn tail is cut off. Returns the bytes cut.
  std::size_t replay(const std::function<void(std::string_view)>& record);
  // Notes a record, to be written by the next commit. False: it has no room, and is not noted.
  bool append(std::string_view record);
  // Writes all that is noted in one go. Nothing may be under way already.
  void beginCommit();
  // Whether all that was begun is written; waits for so long, in milliseconds.
  bool isWritten(Millis patience);
  // Once it is: the places, in the order of append, of those that could not be written; the file holds the
  // others, whole and in order. Throws where a record that was half written cannot be taken back.
  std::vector<std::size_t> finishCommit();
  std::vector<std::size_t> commit();  // the three together
  bool isCommitting() const { return pending_ != nullptr; }
  int descriptor() const { return writer_ ? writer_->descriptor() : -1; }

  // A rewrite beside the file, in as many steps as its owner likes; what is committed meanwhile goes to the
  // file as ever. A kill at any step leaves the old or the new. Each returns false where it could not be
  // done; the rewrite is then failed and the file is as it was. Written aside, the bytes go with the next
  // begin, and what became of them shows at its finish.
  bool beginCompaction();
  bool appendToCompaction(std::string_view framed);
  bool installCompaction();  // in place of the file; nothing may be noted that was not committed
  void abandonCompaction();
  bool isCompacting() const { return beside_ >= 0; }
  bool isInstallingCompaction() const {
    return takes_;
  }  // it is to be taken with the next begin, and nothing else is written then
  bool hasCompactionFailed() { return std::exchange(besideLost_, false); }  // at a finish, since asked last
  std::size_t compactedSize() const { return besideSize_; }

  // Milliseconds spent in writing so far: a slow folder holds its process up, and no processor time shows it.
  double writingTime() const { return writing_; }
  std::size_t size() const { return size_ + buffer_.size() + (pending_ ? pending_->bytes.size() : 0); }
  std::size_t maxBytes() const { return most_; }
  static std::string framed(std::string_view record);  // in the version that is written now
  static constexpr std::size_t kFrame = 8;
  static constexpr std::size_t kHead = 4;

 private:
  enum class Version : std::uint8_t { first = 1, second = 2 };
  static std::uint32_t sumOf(Version version, std::string_view bytes);
  static void frame(std::string& to, Version version, std::string_view record);
  // One write that is under way: it owns all that its thread touches.
  struct PendingCommit {
    int fd{-1};
    std::size_t size{0};  // of the file, as it grows
    std::string bytes;
    std::vector<std::size_t> ends;
    int beside{-1};
    std::string besideBytes;
    bool takes{false};
    std::string path;
    // What became of it.
    std::vector<std::size_t> lost;
    bool besideGood{true};
    double spent{0};
    std::exception_ptr problem{};

    void write();
    bool writeWhole(std::string_view part);
    bool writeAll(int to, std::string_view part);
  };
  bool takeNow();

  std::string path_;
  std::size_t most_;
  int fd_{-1};
  std::size_t size_{0};            // of what is written
  std::string buffer_;             // noted and not written, whole frames
  std::vector<std::size_t> ends_;  // of each in the buffer
  int beside_{-1};
  std::size_t besideSize_{0};
  std::string besideOut_;  // for the next begin, where a thread writes
  bool takes_{false};
  bool besideLost_{false};
  double writing_{0};
  Version version_{Version::second};
  std::shared_ptr<PendingCommit> pending_;
  std::unique_ptr<BackgroundWriter> writer_;
};

}  // namespace stonewing
