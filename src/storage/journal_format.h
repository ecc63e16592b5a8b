#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

// The format of a journal file. A file begins with a header: three letters and a version byte. The header is
// followed by the records, each in a frame: payload length (32 bits), checksum (32 bits), both little-endian,
// and the payload. A file of the first version has no header, and its records have another kind of checksum.
namespace stonewing {

// The values are stored as the version byte of the header; a file of the first version has no header.
enum class JournalVersion : std::uint8_t { first = 1, second = 2 };

inline constexpr std::size_t kJournalHeaderBytes = 4;
inline constexpr std::size_t kJournalFrameBytes = 8;  // of a frame without its payload

// The header of a file of the version that new files have.
std::string journalHeader();
// Whether `bytes` begin with the letters of a header. The length field of a first-version frame cannot be
// mistaken for these letters: no record is so long.
bool beginsWithJournalHeader(std::string_view bytes);

// Appends one record in its frame to `destination`.
void appendJournalFrame(std::string& destination, JournalVersion version, std::string_view record);

// The result of scanning a journal file.
struct JournalContents {
  JournalVersion version{JournalVersion::second};  // in which to append further records
  std::size_t readableBytes{0};  // header and whole records; an incomplete record may follow
  std::size_t fileBytes{0};      // the whole file
};

// Calls `visitRecord` for each whole record of a file, in order, and stops at the first record that is cut
// short or does not match its checksum. The view is valid during the call only; a part of the file is in
// memory at a time. Throws JournalError with `path` in its text, before any record is visited, if this
// program does not know the file's version, and std::system_error if a read fails.
JournalContents scanJournal(int descriptor, const std::string& path,
                            const std::function<void(std::string_view)>& visitRecord);

}  // namespace stonewing
