#pragma once

#include <string>
#include <vector>

// Client commands, encoded for the RESP protocol.
namespace stonewing::testing {

inline std::string respCommand(const std::vector<std::string>& words) {
  std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return bytes;
}

// A SUBMIT command without an ordering key. `fields`: as on the wire, such as "c=order,d=8000,dest=7".
inline std::string submitCommand(const std::string& reference, const std::string& fields,
                                 const std::string& body = "lamp 7") {
  return respCommand({"SUBMIT", "0000000000000000", reference, fields, body});
}

}  // namespace stonewing::testing
