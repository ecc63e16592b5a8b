#pragma once

#include <cstdlib>
#include <filesystem>

namespace stonewing::testing {

// Creates an empty directory; the destructor removes it with all its files.
struct TemporaryDirectory {
  std::filesystem::path path;

  TemporaryDirectory() {
    char name[] = "/tmp/stonewing-test-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
};

}  // namespace stonewing::testing
