#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "base/errors.h"

// Reads and writes packed binary records, the format of the journal and of the simulator's wire protocol.
// Numbers are copied in the host's byte order, which must be little-endian.
namespace stonewing {

// Reads the fields of a record one after another. The bytes must outlive the reader and the views that text()
// returns. A read past the end throws ParseError, whose text contains `field`.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  // The next field, a trivially copyable value.
  template <class T>
  T get(const char* field) {
    T value;
    std::memcpy(&value, text(sizeof value, field).data(), sizeof value);
    return value;
  }
  // The next `length` bytes, unconverted.
  std::string_view text(std::size_t length, const char* field) {
    if (bytes_.size() - position_ < length) {
      throw ParseError(std::string("record is truncated inside field ") + field);
    }
    std::string_view part = bytes_.substr(position_, length);
    position_ += length;
    return part;
  }
  bool atEnd() const { return position_ == bytes_.size(); }

 private:
  std::string_view bytes_;
  std::size_t position_{0};
};

// Appends the bytes of a trivially copyable value.
template <class T>
void putBytes(std::string& buffer, T value) {
  buffer.append(reinterpret_cast<const char*>(&value), sizeof value);
}

// Appends a text after its length (32 bits).
inline void putText(std::string& buffer, std::string_view text) {
  putBytes(buffer, static_cast<std::uint32_t>(text.size()));
  buffer.append(text);
}

}  // namespace stonewing
