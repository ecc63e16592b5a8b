#include <cstdint>
#include <cstdio>
#include <exception>
#include <string>

#include "adapter/instance_host.h"

namespace {

// True when all bytes came; false when the input ended before the first of them.
bool readAll(char* to, std::size_t n, const char* what) {
  std::size_t got = std::fread(to, 1, n, stdin);
  if (got == n) return true;
  if (got == 0 && std::string_view(what) == "header") return false;
  throw stonewing::ProtocolError(std::string("the input ends inside a ") + what);
}

constexpr std::uint32_t kLongestBody = 1u << 30;
constexpr std::size_t kChunk = 1u << 20;

}  // namespace

int main() {
  std::uint32_t number = 0;
  try {
    stonewing::InstanceHost host;
    std::string header(stonewing::wire::kHeaderBytes, '\0');
    std::string body;
    while (readAll(header.data(), header.size(), "header")) {
      stonewing::wire::Reader in(header);
      number = in.get<std::uint32_t>("number");
      auto length = in.get<std::uint32_t>("length");
      auto records = in.get<std::uint32_t>("records");
      auto clock = in.get<double>("clock");
      if (length > kLongestBody) throw stonewing::ProtocolError("a length of over 1 GiB");
      body.clear();
      while (body.size() < length) {
        std::size_t had = body.size();
        body.resize(std::min<std::size_t>(length, had + kChunk));
        readAll(body.data() + had, body.size() - had, "body");
      }
      std::string reply = host.batch(number, records, clock, body);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fprintf(stderr, "stonewing_adapter: cannot write the reply to batch %u\n", number);
        return 1;
      }
    }
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "stonewing_adapter: batch %u: %s\n", number, problem.what());
    return 2;
  }
  return 0;
}
