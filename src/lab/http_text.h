#pragma once

#include <cstddef>
#include <string>

namespace stonewing::lab {

// The head of an emulated server's response. `length`: of its body in bytes; `extraHeaders`: whole lines.
inline std::string responseHead(int status, std::size_t length, const std::string& extraHeaders = "") {
  const char* reason = status == 200 ? "OK" : status == 204 ? "No Content" : "Trouble";
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + extraHeaders;
  if (status != 204) head += "Content-Length: " + std::to_string(length) + "\r\n";
  return head + "\r\n";
}

}  // namespace stonewing::lab
