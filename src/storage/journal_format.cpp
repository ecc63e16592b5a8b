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

// CRC-32 as in IEEE 802.3, the check sum of the first version. It only reads what older programs left, and is
// short enough not to be worth a library that the dispatcher does not otherwise need.
std::uint32_t crc32(std::string_view bytes) {
  constexpr std::uint32_t kReversedPolynomial = 0xedb88320u;
  std::uint32_t sum = 0xffffffffu;
  for (unsigned char byte : bytes) {
    sum ^= byte;
    for (int bit = 0; bit < 8; ++bit) {
      bool carry = (sum & 1) != 0;
      sum >>= 1;
      if (carry) sum ^= kReversedPolynomial;
    }
  }
  return ~sum;
}

std::uint32_t checkSum(JournalVersion version, std::string_view bytes) {
  if (version == JournalVersion::first) return crc32(bytes);
  return static_cast<std::uint32_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

// The version of a file with these bytes. One that ends inside its head holds nothing and is begun anew.
JournalVersion readVersion(std::string_view bytes, const std::string& path) {
  if (bytes.empty()) return JournalVersion::second;
  if (!beginsWithJournalHead(bytes)) return JournalVersion::first;
  if (bytes.size() < kJournalHeadBytes) return JournalVersion::second;
  auto version = static_cast<JournalVersion>(bytes[kMagic.size()]);
  if (version != JournalVersion::second) {
    // Records of an unknown version look torn; cutting them off would lose all accepted messages.
    throw JournalError(path + " is of version " + std::to_string(static_cast<int>(version)) +
                       "; this program reads versions 1 and 2 and leaves it as it is");
  }
  return version;
}

}  // namespace

std::string journalHead() {
  std::string head(kMagic);
  putBytes(head, JournalVersion::second);
  return head;
}

bool beginsWithJournalHead(std::string_view bytes) { return bytes.substr(0, kMagic.size()) == kMagic; }

void appendJournalFrame(std::string& destination, JournalVersion version, std::string_view record) {
  putBytes(destination, static_cast<std::uint32_t>(record.size()));
  putBytes(destination, checkSum(version, record));
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
  if (beginsWithJournalHead(bytes) && bytes.size() >= kJournalHeadBytes) offset = kJournalHeadBytes;
  while (bytes.size() - offset >= kJournalFrameBytes) {
    ByteReader frame(bytes.substr(offset, kJournalFrameBytes));
    auto length = frame.get<std::uint32_t>("length");
    auto sum = frame.get<std::uint32_t>("sum");
    if (bytes.size() - offset - kJournalFrameBytes < length) break;
    std::string_view record = bytes.substr(offset + kJournalFrameBytes, length);
    if (length == 0 || checkSum(contents.version, record) != sum) break;
    visitRecord(record);
    offset += kJournalFrameBytes + length;
  }
  contents.readableBytes = offset;
  if (offset == 0) contents.version = JournalVersion::second;  // nothing in it; the file begins anew
  return contents;
}

}  // namespace stonewing
