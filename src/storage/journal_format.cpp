#include "storage/journal_format.h"

#include <sys/stat.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "base/bytes.h"
#include "base/errors.h"

namespace stonewing {
namespace {

constexpr std::string_view kMagic = "SWJ";
constexpr std::size_t kReadChunkBytes = std::size_t{256} * 1024;

// No record is longer: a message of the protocol's size needs a tenth of it. A length beyond it is damaged.
constexpr std::size_t kMaxRecordBytes = std::size_t{1024} * 1024;

// Reads a file piece by piece, so that a large journal does not have to fit into memory.
class FileWindow {
 public:
  explicit FileWindow(int descriptor) : descriptor_(descriptor) {
    struct stat status {};
    if (::fstat(descriptor, &status) != 0)
      throw std::system_error(errno, std::generic_category(), "cannot read the journal");
    fileBytes_ = static_cast<std::size_t>(status.st_size);
  }

  std::size_t fileBytes() const { return fileBytes_; }
  // Returns the bytes at `offset`, fewer than `length` at the end of the file. The view is valid until the
  // next call. Throws std::system_error if a read fails.
  std::string_view read(std::size_t offset, std::size_t length) {
    const std::size_t end = std::min(offset + length, fileBytes_);
    if (offset < begin_ || end > begin_ + bytes_.size()) load(offset, std::max(length, kReadChunkBytes));
    const std::size_t start = std::min(offset - begin_, bytes_.size());
    return std::string_view(bytes_).substr(start, length);
  }

 private:
  void load(std::size_t offset, std::size_t length) {
    begin_ = offset;
    bytes_.resize(std::min(length, fileBytes_ - std::min(offset, fileBytes_)));
    std::size_t done = 0;
    while (done < bytes_.size()) {
      const ssize_t count =
          ::pread(descriptor_, bytes_.data() + done, bytes_.size() - done, static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) throw std::system_error(errno, std::generic_category(), "cannot read the journal");
      if (count == 0) break;
      done += static_cast<std::size_t>(count);
    }
    bytes_.resize(done);
  }

  int descriptor_;
  std::size_t fileBytes_{0};
  std::size_t begin_{0};  // position in the file of the first byte of bytes_
  std::string bytes_;
};

// CRC-32 as in IEEE 802.3, the checksum of the first version. It is needed only to read files of older
// programs, and is too short to justify a library that the dispatcher does not otherwise need.
std::uint32_t crc32(std::string_view bytes) {
  constexpr std::uint32_t kReversedPolynomial = 0xedb88320u;
  std::uint32_t checksum = 0xffffffffu;
  for (unsigned char byte : bytes) {
    checksum ^= byte;
    for (int bit = 0; bit < 8; ++bit) {
      bool carry = (checksum & 1) != 0;
      checksum >>= 1;
      if (carry) checksum ^= kReversedPolynomial;
    }
  }
  return ~checksum;
}

std::uint32_t checksumOf(JournalVersion version, std::string_view bytes) {
  if (version == JournalVersion::first) return crc32(bytes);
  return static_cast<std::uint32_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

// The version of a file with these bytes. A file that ends inside its header holds no records and is started
// anew.
JournalVersion readVersion(std::string_view bytes, const std::string& path) {
  if (bytes.empty()) return JournalVersion::second;
  if (!beginsWithJournalHeader(bytes)) return JournalVersion::first;
  if (bytes.size() < kJournalHeaderBytes) return JournalVersion::second;
  auto version = static_cast<JournalVersion>(bytes[kMagic.size()]);
  if (version != JournalVersion::second) {
    // Records of an unknown version look incomplete. Truncating the file at the first of them would lose all
    // accepted messages.
    throw JournalError(path + " has journal format version " + std::to_string(static_cast<int>(version)) +
                       "; this program reads versions 1 and 2 and left the file unchanged");
  }
  return version;
}

}  // namespace

std::string journalHeader() {
  std::string header(kMagic);
  putBytes(header, JournalVersion::second);
  return header;
}

bool beginsWithJournalHeader(std::string_view bytes) { return bytes.substr(0, kMagic.size()) == kMagic; }

void appendJournalFrame(std::string& destination, JournalVersion version, std::string_view record) {
  putBytes(destination, static_cast<std::uint32_t>(record.size()));
  putBytes(destination, checksumOf(version, record));
  destination.append(record);
}

JournalContents scanJournal(int descriptor, const std::string& path,
                            const std::function<void(std::string_view)>& visitRecord) {
  FileWindow file(descriptor);
  JournalContents contents;
  contents.fileBytes = file.fileBytes();
  const std::string_view header = file.read(0, kJournalHeaderBytes);
  contents.version = readVersion(header, path);
  std::size_t offset = 0;
  if (beginsWithJournalHeader(header) && header.size() >= kJournalHeaderBytes) offset = kJournalHeaderBytes;
  while (file.fileBytes() - offset >= kJournalFrameBytes) {
    ByteReader frame(file.read(offset, kJournalFrameBytes));
    auto length = frame.get<std::uint32_t>("length");
    auto expectedChecksum = frame.get<std::uint32_t>("sum");
    if (length == 0 || length > kMaxRecordBytes) break;
    const std::string_view record = file.read(offset + kJournalFrameBytes, length);
    if (record.size() < length || checksumOf(contents.version, record) != expectedChecksum) break;
    visitRecord(record);
    offset += kJournalFrameBytes + length;
  }
  contents.readableBytes = offset;
  if (offset == 0) contents.version = JournalVersion::second;  // no records: the file is started anew
  return contents;
}

}  // namespace stonewing
