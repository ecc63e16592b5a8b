// The simulator's adapter: batches of events on standard input, a reply to each on standard output, until the
// input ends. Exit code 1: the reply could not be written; 2: a batch could not be read.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>

#include "adapter/instance_host.h"
#include "adapter/wire_reader.h"
#include "base/errors.h"

namespace {

using stonewing::ProtocolError;

constexpr std::uint32_t kMaxBodyBytes = 1u << 30;
constexpr std::size_t kChunkBytes = 1u << 20;  // memory grows with what has come, not with what is announced

std::size_t readSome(char* to, std::size_t size) { return std::fread(to, 1, size, stdin); }

// The next header; none where the input ends before its first byte.
std::optional<stonewing::wire::BatchHeader> readHeader() {
  std::string bytes(stonewing::wire::kHeaderBytes, '\0');
  const std::size_t got = readSome(bytes.data(), bytes.size());
  if (got == 0) return std::nullopt;
  if (got < bytes.size()) throw ProtocolError("the input ends inside a header");
  return stonewing::wire::readHeader(bytes);
}

std::string readBody(std::uint32_t size) {
  if (size > kMaxBodyBytes) throw ProtocolError("a length of over 1 GiB");
  std::string body;
  while (body.size() < size) {
    const std::size_t had = body.size();
    const std::size_t chunk = std::min<std::size_t>(size - had, kChunkBytes);
    body.resize(had + chunk);
    if (readSome(body.data() + had, chunk) != chunk) throw ProtocolError("the input ends inside a body");
  }
  return body;
}

bool writeReply(const std::string& reply) {
  return std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size() && std::fflush(stdout) == 0;
}

}  // namespace

int main() {
  std::uint32_t batchNumber = 0;
  try {
    stonewing::InstanceHost host;
    while (auto header = readHeader()) {
      batchNumber = header->number;
      const std::string body = readBody(header->bodyBytes);
      if (!writeReply(host.handleBatch(batchNumber, header->recordCount, header->clockSeconds, body))) {
        std::fprintf(stderr, "stonewing_adapter: cannot write the reply to batch %u\n", batchNumber);
        return 1;
      }
    }
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "stonewing_adapter: batch %u: %s\n", batchNumber, problem.what());
    return 2;
  }
  return 0;
}
