#include "storage/journal_format.h"

#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <system_error>

#include "base/bytes.h"
#include "base/errors.h"

namespace stonewing {
namespace {

constexpr std::string_view kMagic = "SWJ";
constexpr std::size_t kReadChunkBytes = 64 * 1024;

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

std::string readWholeFile(int descriptor) {
  std::string bytes;
  std::array<char, kReadChunkBytes> chunk;
  for (;;) {
    ssize_t count = ::read(descriptor, chunk.data(), chunk.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw std::system_error(errno, std::generic_category(), "cannot read the journal");
    if (count == 0) return bytes;
    bytes.append(chunk.data(), static_cast<std::size_t>(count));
  }
}

JournalContents scanJournal(std::string_view bytes, const std::string& path,
                            const std::function<void(std::string_view)>& visitRecord) {
  JournalContents contents;
  contents.version = readVersion(bytes, path);
  std::size_t offset = 0;
  if (beginsWithJournalHeader(bytes) && bytes.size() >= kJournalHeaderBytes) offset = kJournalHeaderBytes;
  while (bytes.size() - offset >= kJournalFrameBytes) {
    ByteReader frame(bytes.substr(offset, kJournalFrameBytes));
    auto length = frame.get<std::uint32_t>("length");
    auto expectedChecksum = frame.get<std::uint32_t>("sum");
    if (bytes.size() - offset - kJournalFrameBytes < length) break;
    std::string_view record = bytes.substr(offset + kJournalFrameBytes, length);
    if (length == 0 || checksumOf(contents.version, record) != expectedChecksum) break;
    visitRecord(record);
    offset += kJournalFrameBytes + length;
  }
  contents.readableBytes = offset;
  if (offset == 0) contents.version = JournalVersion::second;  // no records: the file is started anew
  return contents;
}

}  // namespace stonewing
