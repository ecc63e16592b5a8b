#pragma once

#include <string>
#include <vector>

#include "net/http_client_connection.h"
#include "storage/message_store.h"

// The bytes of requests to endpoints. Nothing is sent here: the bytes are added to the connection and leave
// with its next exchange.
namespace stonewing {

// Adds the request for one message, or a batch request for several, in their order. `authority` is the Host
// header; `timeLeft` is how long the endpoint has for it, in milliseconds. The bodies are shared with the
// store.
void addMessageRequest(HttpClientConnection& connection, const std::string& authority, Millis timeLeft,
                       const std::vector<const StoredMessage*>& messages);

// Adds the request of a health check. `authority` is the Host header.
void addHealthCheckRequest(HttpClientConnection& connection, const std::string& authority);

}  // namespace stonewing
