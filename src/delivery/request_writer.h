#pragma once

#include <string>
#include <vector>

#include "net/http_client_connection.h"
#include "storage/message_store.h"

// Composes requests to endpoints. The functions do not send anything: they add the bytes to the connection,
// which sends them with its next exchange.
namespace stonewing {

// Adds the request for one message, or a batch request for several messages, in their order. `authority` is
// the Host header; `timeLeft` is the time that the endpoint has for the request, in milliseconds. The bodies
// are shared with the store.
void addMessageRequest(HttpClientConnection& connection, const std::string& authority, Millis timeLeft,
                       const std::vector<const StoredMessage*>& messages);

// Adds the request of a health check. `authority` is the Host header.
void addHealthCheckRequest(HttpClientConnection& connection, const std::string& authority);

}  // namespace stonewing
