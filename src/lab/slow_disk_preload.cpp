// Preloaded into a dispatcher, this library emulates a disk that hangs: write() to a file named `journal`
// blocks while the same folder has a file named `hang`.
#include <dlfcn.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>

extern "C" ssize_t write(int fd, const void* bytes, size_t size) {
  using Write = ssize_t (*)(int, const void*, size_t);
  static const auto kRealWrite = reinterpret_cast<Write>(::dlsym(RTLD_NEXT, "write"));
  char descriptorLink[64];
  char path[4096];
  std::snprintf(descriptorLink, sizeof descriptorLink, "/proc/self/fd/%d", fd);
  ssize_t length = ::readlink(descriptorLink, path, sizeof path - 8);
  if (length > 8 && std::memcmp(path + length - 8, "/journal", 8) == 0) {
    std::memcpy(path + length - 7, "hang", 5);
    while (::access(path, F_OK) == 0) ::usleep(1000);
  }
  return kRealWrite(fd, bytes, size);
}
