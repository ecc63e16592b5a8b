#pragma once

#include <sys/types.h>

#include <cstddef>
#include <fstream>
#include <string>

namespace stonewing::testing {

// The allocator of the address sanitizer keeps freed memory and adds to each allocation, so the memory of a
// process under it says nothing about the program.
#if defined(__SANITIZE_ADDRESS__)
inline constexpr bool kIsMemoryMeaningful = false;
#else
inline constexpr bool kIsMemoryMeaningful = true;
#endif

// The most memory that a running process has had so far, in bytes; 0 if it is not running.
inline std::size_t peakMemoryOf(pid_t pid) {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6)) * kBytesPerKilobyte;
  }
  return 0;
}

}  // namespace stonewing::testing
