#pragma once

#include <list>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <vector>

#include "discovery/discovery_client.h"
#include "net/http_client_connection.h"
#include "policy/dispatch_policy.h"
#include "settings/settings_reader.h"
#include "storage/message_store.h"

namespace stonewing {

// What a load report tells of the limit; one that cannot be read tells nothing.
LoadReport reportIn(std::string_view report, const std::vector<std::string>& fields);

// Carries attempts and probes to endpoints over HTTP/1.1 and tells the rules how each ended.
class AttemptSender : public HttpClientConnection::Observer {
 public:
  // mostProbes: of them at once, so that with the concurrent requests they stay within mostLinks, connections
  // to endpoints.
  AttemptSender(EventLoop& loop, DispatchPolicy& rules, MessageStore& book, const DiscoveryClient& catalog,
                const DeploymentSettings& terms, const NameTables& facts, std::size_t mostLinks,
                std::size_t mostProbes);

  // Attempts of one pass that belong to one call go out together: noted with flush, sent once the book has
  // kept them.
  void sendAttempt(const SendAttempt& decision);
  void cancelAttempt(const CancelAttempt& decision);
  void sendHealthCheck(EndpointId endpoint);
  void closeIdleConnection(EndpointId endpoint);
  void recordBatches();
  void sendBatches();

  void onTick();  // time-outs, and connections that never come up
  Millis due() const;
  bool idle() const;

 private:
  struct BatchedAttempt {
    MessageId message{};
    int attempt{};
    Millis due{};
    std::string ref;
    bool told{false};  // its end was told; the call may go on for others
    bool off{false};   // called off, and told once the whole call can be
  };
  struct EndpointConnection : HttpClientConnection {
    using HttpClientConnection::HttpClientConnection;
    EndpointId endpoint{};
    sockaddr_in address{};
    std::vector<BatchedAttempt> members;
    bool probing{false};
    bool failed{false};    // could not even begin
    bool withheld{false};  // that is for want of something of our own, which tells nothing of the endpoint
    Millis wholeBy{-1};    // an answer that has begun is to be whole by then; -1 while none has
    Millis sent{0};
    Millis usedAt{0};
    Millis due{-1};     // its place in dues_
    Millis idleAt{-1};  // its place in idle_
    std::list<std::unique_ptr<EndpointConnection>>::iterator self{};
  };

  bool mayStartExchange(HttpClientConnection& link) override;
  bool mayContinueExchange(HttpClientConnection& link) override;
  void onResponseStarted(HttpClientConnection& link) override;
  void onResponse(HttpClientConnection& link) override;
  void onBroken(HttpClientConnection& link) override;
  std::string_view nameAt(EndpointId endpoint) const;
  EndpointConnection& lineTo(EndpointId endpoint);
  void write(EndpointConnection& line);
  bool stillWanted(EndpointConnection& line);
  static void withhold(EndpointConnection& line);
  void letGo(EndpointConnection& line, AttemptOutcome ending);
  void probeEnded(EndpointConnection& line, AttemptOutcome ending, LoadReport report = {});
  void tell(EndpointConnection& line, BatchedAttempt& member, AttemptOutcome ending, bool over, Millis wait);
  void tellAll(EndpointConnection& line, AttemptOutcome ending, bool over = false, Millis wait = 0);
  void readMany(EndpointConnection& line, Millis wait);
  bool calledOff(EndpointConnection& line);
  bool keepsCall(const EndpointConnection& line, const BatchedAttempt& member) const;
  Millis timeUp(const BatchedAttempt& member) const;
  void release(EndpointConnection& line);
  // A line has changed: when it is to be looked at, and whether it stands idle, is noted anew.
  void settle(EndpointConnection& line);
  Millis dueOf(const EndpointConnection& line) const;
  void unsettle(EndpointConnection& line);
  void look(EndpointConnection& line);
  AttemptOutcome unanswered(const EndpointConnection& line, AttemptOutcome otherwise) const;
  Millis connectBy(const EndpointConnection& line) const;

  EventLoop& loop_;
  DispatchPolicy& policy_;
  MessageStore& store_;
  const DiscoveryClient& discovery_;
  const NameTables& names_;
  Millis connectWithin_;
  bool mayCopy_;
  Millis idleMost() const;

  Millis idleMost_{1e15};
  std::size_t mostLinks_;
  std::size_t mostProbes_;
  std::size_t probesOut_{0};
  std::list<std::unique_ptr<EndpointConnection>> connections_;
  std::set<std::pair<Millis, EndpointConnection*>> dues_;
  std::set<std::tuple<EndpointId, Millis, EndpointConnection*>> idle_;  // by endpoint, then when last used
  std::set<std::pair<Millis, EndpointConnection*>> oldest_;             // the idle ones by when last used
  std::map<std::pair<MessageId, int>, EndpointConnection*>
      carries_;  // the line of an attempt that was not told yet
  Millis idleMostSeen_{1e15};
  std::map<int, std::pair<EndpointId, std::vector<BatchedAttempt>>> gathered_;  // by the number of the call
  std::vector<EndpointConnection*> noted_;                                      // to be sent
};

}  // namespace stonewing
