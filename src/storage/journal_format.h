#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

// The bytes of a journal file. A file begins with a head: three letters and a version byte. After it come the
// records, each in a frame: length (32 bits), check sum (32 bits), both little-endian, and the payload. A
// file of the first version has no head, and its records have another check sum.
namespace stonewing {

// Values are the version byte of the head; a file of the first version has none.
enum class JournalVersion : std::uint8_t { first = 1, second = 2 };

inline constexpr std::size_t kJournalHeadBytes = 4;
inline constexpr std::size_t kJournalFrameBytes = 8;  // of a frame, without its payload

// The head of a file of the version that new files have.
std::string journalHead();
// Whether `bytes` begin as a file with a head does. No record is so long that its length could be taken for
// one.
bool beginsWithJournalHead(std::string_view bytes);

// Appends one record in its frame to `destination`.
void appendJournalFrame(std::string& destination, JournalVersion version, std::string_view record);

// Reads a file from its present position to its end. Throws std::system_error where it cannot.
std::string readWholeFile(int descriptor);

// What was found in a journal file.
struct JournalContents {
  JournalVersion version{JournalVersion::second};  // to go on with
  std::size_t readableBytes{0};                    // head and whole records; what follows is a torn tail
};

// Calls `visitRecord` for each whole record in `bytes`, in order, and stops at the first that is cut short or
// does not match its check sum. The view is valid during the call only. Throws JournalError, naming `path`,
// where the file has a version that this program does not know, before any record is visited.
JournalContents scanJournal(std::string_view bytes, const std::string& path,
                            const std::function<void(std::string_view)>& visitRecord);

}  // namespace stonewing
