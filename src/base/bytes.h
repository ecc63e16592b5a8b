#pragma once

#include <cstring>
#include <string>
#include <string_view>

#include "base/errors.h"

namespace stonewing {

// Reads packed little-endian fields; past the end it throws ParseError.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  template <class T>
  T get(const char* field) {
    T value;
    std::memcpy(&value, text(sizeof value, field).data(), sizeof value);
    return value;
  }
  std::string_view text(std::size_t n, const char* field) {
    if (bytes_.size() - at_ < n) throw ParseError(std::string("record ends inside field ") + field);
    std::string_view part = bytes_.substr(at_, n);
    at_ += n;
    return part;
  }
  bool atEnd() const { return at_ == bytes_.size(); }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
};

template <class T>
void putBytes(std::string& to, T value) {
  to.append(reinterpret_cast<const char*>(&value), sizeof value);
}

}  // namespace stonewing
