#include "delivery/request_writer.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace stonewing {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

std::string contentLength(std::size_t length) {
  return "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

void addSingleRequest(HttpClientConnection& connection, const std::string& commonHeaders,
                      const StoredMessage& message) {
  std::string head =
      "POST /v1/messages HTTP/1.1\r\n" + commonHeaders + "X-Request-Id: " + message.reference + "\r\n";
  if (!message.idempotencyKey.empty()) head += "Idempotency-Key: " + message.idempotencyKey + "\r\n";
  connection.add(head + contentLength(message.body->size()));
  connection.add(message.body);
}

// The line before a message's body in a batch: "reference key length", with "-" if there is no key.
std::string batchLineOf(const StoredMessage& message) {
  return message.reference + " " + (message.idempotencyKey.empty() ? "-" : message.idempotencyKey) + " " +
         std::to_string(message.body->size()) + "\r\n";
}

void addBatchRequest(HttpClientConnection& connection, const std::string& commonHeaders,
                     const std::vector<const StoredMessage*>& messages) {
  std::vector<std::string> lines;
  std::size_t length = 0;
  for (const StoredMessage* message : messages) {
    lines.push_back(batchLineOf(*message));
    length += lines.back().size() + message->body->size() + kLineEnd.size();
  }
  connection.add("POST /v1/messages:batch HTTP/1.1\r\n" + commonHeaders + contentLength(length));
  for (std::size_t i = 0; i < messages.size(); ++i) {
    connection.add(std::move(lines[i]));
    connection.add(messages[i]->body);
    connection.add(std::string(kLineEnd));
  }
}

}  // namespace

void addMessageRequest(HttpClientConnection& connection, const std::string& authority, Millis timeLeft,
                       const std::vector<const StoredMessage*>& messages) {
  std::string commonHeaders = "Host: " + authority +
                              "\r\nX-Deadline-Ms: " + std::to_string(static_cast<std::int64_t>(timeLeft)) +
                              "\r\n";
  if (messages.size() == 1) {
    addSingleRequest(connection, commonHeaders, *messages.front());
  } else {
    addBatchRequest(connection, commonHeaders, messages);
  }
}

void addHealthCheckRequest(HttpClientConnection& connection, const std::string& authority) {
  connection.add("GET /ping HTTP/1.1\r\nHost: " + authority + "\r\n\r\n");
}

}  // namespace stonewing
