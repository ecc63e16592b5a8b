#pragma once

#include <string>

#include "support/http_server_stub.h"

// Settings, endpoint lists and responses shared by the tests of a whole dispatcher.
namespace stonewing::testing {

inline const std::string kHttpOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
inline const std::string kHttpNoContent = "HTTP/1.1 204 No Content\r\n\r\n";

// Class "status" is idempotent, class "order" is not; endpoints of kind "many" take batches of 20.
inline const std::string kDispatcherSettings = R"({"request-classes":[
    {"name":"status","aim-s":1,"deadline-s":10,"effect":"safe"},
    {"name":"order","aim-s":1,"deadline-s":10,"effect":"unsafe"}],
  "family-info":{"call-slots":6,"per-call":[1,20]},"kinds":["plain","many"],"zones":["a"],
  "limits":{"open-cap":50,"max-attempts":5,"cancel":true,"conn-idle-s":10,"connect-timeout-s":1.5},
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

// The settings with one part of their text replaced by another.
inline std::string settingsWith(const std::string& part, const std::string& replacement,
                                std::string settings = kDispatcherSettings) {
  return settings.replace(settings.find(part), part.size(), replacement);
}

// Endpoint s-1 of destination 7 at the stub, and s-9 of destination 9, to which nothing can be delivered.
inline std::string endpointList(const HttpServerStub& stub, const std::string& kind = "plain",
                                const std::string& state = "in_service") {
  return R"([{"id":"s-1","addr":")" + stub.address() + R"(","zone":"a","kind":")" + kind +
         R"(","cell":7,"state":")" + state + R"(","weight":1.0,"started_ms":0},)" +
         R"({"id":"s-9","addr":"127.0.0.1:9","zone":"a","kind":"plain","cell":9,"state":"terminating","weight":1.0,"started_ms":0}])";
}

// Responds as a platform that confirms every notification and as a discovery that never responds to a poll.
inline std::string confirmNotifications(const std::string& head, const std::string&) {
  return head.starts_with("POST /reports") ? kHttpNoContent : "";
}

}  // namespace stonewing::testing
