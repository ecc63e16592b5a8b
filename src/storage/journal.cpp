#include "storage/journal.h"

#include <fcntl.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

#include "base/bytes.h"

namespace stonewing {
namespace {

constexpr std::size_t kBufferKept = 64 * 1024;
constexpr std::size_t kBlock = 512;  // files count in whole ones

constexpr std::string_view kMark = "SWJ";  // no record is so long that these could be its length

// The sum of the first version: CRC-32 as in IEEE 802.3, kept to read what older programs left.
std::uint32_t crc32(std::string_view bytes) {
  std::uint32_t sum = 0xffffffffu;
  for (unsigned char byte : bytes) {
    sum ^= byte;
    for (int bit = 0; bit < 8; ++bit) sum = (sum & 1) != 0 ? 0xedb88320u ^ (sum >> 1) : sum >> 1;
  }
  return ~sum;
}

std::string headOf() {
  std::string head(kMark);
  head.push_back(2);
  return head;
}

std::string wholeFile(int fd) {
  std::string bytes;
  for (;;) {
    char chunk[65536];
    ssize_t n = ::read(fd, chunk, sizeof chunk);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw std::system_error(errno, std::generic_category(), "cannot read the journal");
    if (n == 0) return bytes;
    bytes.append(chunk, static_cast<std::size_t>(n));
  }
}

}  // namespace

Journal::Journal(const std::string& folder, std::size_t mostBytes, bool aside)
    : path_(folder + "/journal"), most_(mostBytes - std::min(mostBytes, 2 * kBlock)) {
  // Left by a rewrite that a kill cut short; the old file still holds everything.
  ::unlink((path_ + ".new").c_str());
  fd_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "cannot open " + path_);
  if (aside) writer_ = std::make_unique<BackgroundWriter>();
}

Journal::~Journal() {
  if (pending_ && !isWritten(0)) return;  // it hangs, and uses both files; the process is about to end
  abandonCompaction();
  ::close(fd_);
}

std::uint32_t Journal::sumOf(Version version, std::string_view bytes) {
  if (version == Version::first) return crc32(bytes);
  return static_cast<std::uint32_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

std::size_t Journal::replay(const std::function<void(std::string_view)>& record) {
  const std::string bytes = wholeFile(fd_);
  std::size_t at = 0;
  bool marked = std::string_view(bytes).substr(0, kMark.size()) == kMark;
  if (marked && bytes.size() >= kHead) {
    version_ = static_cast<Version>(bytes[kMark.size()]);
    if (version_ != Version::second) {
      // Danger: what cannot be read looks torn, and cutting it would lose all that was accepted.
      throw std::runtime_error(path_ + " is of version " + std::to_string(static_cast<int>(version_)) +
                               "; this program reads versions 1 and 2 and leaves it as it is");
    }
    at = kHead;
  } else if (!bytes.empty() && !marked) {
    version_ = Version::first;
  }
  while (bytes.size() - at >= kFrame) {
    ByteReader frame(std::string_view(bytes).substr(at, kFrame));
    auto length = frame.get<std::uint32_t>("length");
    auto sum = frame.get<std::uint32_t>("sum");
    if (bytes.size() - at - kFrame < length) break;
    std::string_view payload = std::string_view(bytes).substr(at + kFrame, length);
    if (length == 0 || sumOf(version_, payload) != sum) break;
    record(payload);
    at += kFrame + length;
  }
  size_ = at;
  if (at < bytes.size() && ::ftruncate(fd_, static_cast<off_t>(at)) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot cut the journal's torn tail");
  }
  if (at == 0) version_ = Version::second;  // begun anew
  return bytes.size() - at;
}

std::string Journal::framed(std::string_view record) {
  std::string bytes;
  frame(bytes, Version::second, record);
  return bytes;
}

void Journal::frame(std::string& to, Version version, std::string_view record) {
  putBytes(to, static_cast<std::uint32_t>(record.size()));
  putBytes(to, sumOf(version, record));
  to.append(record);
}

bool Journal::PendingCommit::writeAll(int to, std::string_view part) {
  while (!part.empty()) {
    auto began = std::chrono::steady_clock::now();
    ssize_t n = ::write(to, part.data(), part.size());
    spent += std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    part.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Journal::append(std::string_view record) {
  bool first = size() == 0;
  std::size_t after = size() + (first ? kHead : 0) + kFrame + record.size();
  if (after > most_) return false;
  if (after + besideSize_ > most_ && !pending_)
    abandonCompaction();  // what is owed comes before what saves room later
  if (first) buffer_ = headOf();
  frame(buffer_, version_, record);
  ends_.push_back(buffer_.size());
  return true;
}

// Half a record would hide all later ones from the next start.
bool Journal::PendingCommit::writeWhole(std::string_view part) {
  // The head stands before the first record, whichever that is.
  bool headless = size == 0 && part.substr(0, kMark.size()) != kMark;
  std::string whole = headless ? headOf() + std::string(part) : std::string();
  if (headless) part = whole;
  if (writeAll(fd, part)) {
    size += part.size();
    return true;
  }
  if (::ftruncate(fd, static_cast<off_t>(size)) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot take back a record half written");
  }
  return false;
}

void Journal::PendingCommit::write() {
  try {
    if (!ends.empty() && !writeWhole(bytes)) {
      // Together they had no room. One by one some may: an end is short, and makes room for others.
      std::size_t from = 0;
      for (std::size_t n = 0; n < ends.size(); ++n) {
        std::string_view one = std::string_view(bytes).substr(from, ends[n] - from);
        from = ends[n];
        if (!writeWhole(one)) lost.push_back(n);
      }
    }
    if (beside >= 0) {
      besideGood = writeAll(beside, besideBytes);
      if (takes && besideGood) besideGood = ::rename((path + ".new").c_str(), path.c_str()) == 0;
    }
  } catch (...) {
    problem = std::current_exception();
  }
}

void Journal::beginCommit() {
  if (ends_.empty() && besideOut_.empty() && !takes_) return;
  pending_ = std::make_shared<PendingCommit>();
  PendingCommit& f = *pending_;
  f.fd = fd_;
  f.size = size_;
  f.path = path_;
  // Danger: what is noted in the old file while the new one takes its place would be lost. It waits.
  if (!takes_) {
    f.bytes = std::exchange(buffer_, {});
    f.ends = std::exchange(ends_, {});
  }
  f.beside = beside_;
  f.besideBytes = std::exchange(besideOut_, {});
  f.takes = takes_;
  if (writer_) {
    writer_->submit([flight = pending_] { flight->write(); });
  } else {
    f.write();
  }
}

bool Journal::isWritten(Millis patience) { return !pending_ || !writer_ || writer_->waitUntilDone(patience); }

std::vector<std::size_t> Journal::finishCommit() {
  if (!pending_) return {};
  std::shared_ptr<PendingCommit> f = std::exchange(pending_, nullptr);
  if (f->problem) std::rethrow_exception(f->problem);
  writing_ += writer_ ? 0 : f->spent;  // aside it held nobody up
  size_ = f->size;
  if (buffer_.empty() && f->bytes.capacity() <= kBufferKept) {
    buffer_ = std::move(f->bytes);  // its room is of use again; a burst's is not
    buffer_.clear();
  }
  bool took = std::exchange(takes_, false) && f->besideGood;
  if (!f->besideGood) {
    besideLost_ = true;
    abandonCompaction();
  } else if (took) {
    ::close(std::exchange(fd_, std::exchange(beside_, -1)));
    size_ = std::exchange(besideSize_, 0);
  }
  return std::move(f->lost);
}

std::vector<std::size_t> Journal::commit() {
  beginCommit();
  while (!isWritten(1000)) {
  }
  return finishCommit();
}

bool Journal::beginCompaction() {
  abandonCompaction();
  beside_ = ::open((path_ + ".new").c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  return beside_ >= 0 && appendToCompaction(headOf());
}

bool Journal::appendToCompaction(std::string_view framed) {
  bool room = beside_ >= 0 && size() + besideSize_ + framed.size() <= most_;
  if (room && writer_) {
    besideOut_ += framed;
    besideSize_ += framed.size();
    return true;
  }
  PendingCommit now;
  if (room && now.writeAll(beside_, framed)) {
    besideSize_ += framed.size();
    writing_ += now.spent;
    return true;
  }
  abandonCompaction();
  return false;
}

bool Journal::installCompaction() {
  if (beside_ < 0 || !ends_.empty()) {
    abandonCompaction();
    return false;
  }
  // Records are noted in the form of the file that they go to; one of the first version changes at once.
  if (writer_ && version_ == Version::second) return takes_ = true;
  if (writer_) {
    commit();
    if (beside_ < 0) return false;
  }
  return takeNow();
}

bool Journal::takeNow() {
  if (::rename((path_ + ".new").c_str(), path_.c_str()) != 0) {
    abandonCompaction();
    return false;
  }
  ::close(std::exchange(fd_, std::exchange(beside_, -1)));
  size_ = std::exchange(besideSize_, 0);
  version_ = Version::second;
  return true;
}

void Journal::abandonCompaction() {
  if (beside_ < 0) return;
  ::close(std::exchange(beside_, -1));
  ::unlink((path_ + ".new").c_str());
  besideSize_ = 0;
  besideOut_ = {};
  takes_ = false;
}

}  // namespace stonewing
