// The simulator's adapter: reads batches of events from standard input and writes a reply to each to standard
// output, until the input ends. Exit code 1: a reply could not be written; 2: a batch could not be read.
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
// Read at a time. Memory for a body grows only as its bytes arrive, and is not allocated for the announced
// length at once.
constexpr std::size_t kChunkBytes = 1u << 20;

std::size_t readBytes(char* to, std::size_t size) { return std::fread(to, 1, size, stdin); }

// Reads the next header; none if the input has ended before its first byte.
std::optional<stonewing::wire::BatchHeader> readHeader() {
  std::string bytes(stonewing::wire::kHeaderBytes, '\0');
  const std::size_t bytesRead = readBytes(bytes.data(), bytes.size());
  if (bytesRead == 0) return std::nullopt;
  if (bytesRead < bytes.size()) throw ProtocolError("the input ended inside the header of a batch");
  return stonewing::wire::readHeader(bytes);
}

std::string readBody(std::uint32_t size) {
  if (size > kMaxBodyBytes) throw ProtocolError("the header states a body of more than 1 GiB, the limit");
  std::string body;
  while (body.size() < size) {
    const std::size_t sizeBefore = body.size();
    const std::size_t chunk = std::min<std::size_t>(size - sizeBefore, kChunkBytes);
    body.resize(sizeBefore + chunk);
    if (readBytes(body.data() + sizeBefore, chunk) != chunk)
      throw ProtocolError("the input ended inside the body of the batch");
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
