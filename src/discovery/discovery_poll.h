#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "discovery/endpoint_list_parser.h"
#include "discovery/poll_end.h"
#include "net/http_client_connection.h"

namespace stonewing {

// What a poll asks discovery for.
struct PollRequest {
  ListExtent extent{ListExtent::changes};
  std::int64_t since{0};  // the version after which changes are asked for
  // How long discovery may wait for changes before it answers. A full list is answered at once.
  Millis watchTimeout{0};
  // How much later the answer may come (PollTiming).
  Millis responseGrace{0};
};

// One poll of discovery on a connection of its own: on a kept one, a repeated response would count for the
// next poll. Used on the event loop's thread alone; the loop and the owner must outlive it. All times are
// milliseconds of the loop's clock.
class DiscoveryPoll : public HttpClientConnection::Observer {
 public:
  // Hears of the end of a poll, once, and only from the event loop. The owner may destroy the poll then.
  struct Owner {
    virtual ~Owner() = default;
    virtual void onPollResponse(DiscoveryPoll& poll) = 0;
    // Some bytes of the response have arrived, but not all.
    virtual void onPollResponseStarted(DiscoveryPoll& poll) = 0;
    virtual void onPollBroken(DiscoveryPoll& poll, PollEnd end) = 0;
  };
  enum class Stage { connecting, awaitingResponse, readingResponse };

  DiscoveryPoll(EventLoop& loop, Owner& owner, std::uint64_t number, const PollRequest& request);
  ~DiscoveryPoll() override;
  DiscoveryPoll(const DiscoveryPoll&) = delete;
  DiscoveryPoll& operator=(const DiscoveryPoll&) = delete;

  // Begins to connect. Returns how the poll ended if that failed at once; the owner is not called then.
  // `host`: the address for the Host header.
  std::optional<PollEnd> start(const sockaddr_in& address, const std::string& host);

  // Reads bytes that have arrived since the last read. This can end the poll.
  void readPending() { connection_->readPending(); }

  std::uint64_t number() const { return number_; }
  const PollRequest& request() const { return request_; }
  Stage stage() const;
  Millis stageSince() const;
  Millis startedAt() const { return startedAt_; }
  // When the poll is given up, and how it ends then.
  Millis timeoutAt() const;
  PollEnd endOnTimeout() const;
  // When discovery has to have begun its response at the latest. Only for Stage::awaitingResponse.
  Millis answerDueAt() const { return connectedAt_ + watchTimeout(); }
  // When the response began, or now.
  Millis responseBegunAt() const { return responseStartedAt_.value_or(loop_.now()); }
  // Whether the response began so late that discovery may have had nothing new to tell.
  bool isAnsweredAtWatchTimeout() const;
  // The answer holds what discovery had at this time: it answers a watch at once if there is a change, and
  // otherwise at its time-out.
  Millis upToDateUntil(const EndpointList& answer) const;
  // Valid until the poll is destroyed.
  const HttpClientConnection& connection() const { return *connection_; }

 private:
  bool mayStartExchange(HttpClientConnection& connection) override;
  void onResponseStarted(HttpClientConnection& connection) override;
  void onResponse(HttpClientConnection& connection) override;
  void onBroken(HttpClientConnection& connection) override;
  std::string target() const;
  Millis watchTimeout() const;

  EventLoop& loop_;
  Owner& owner_;
  std::uint64_t number_;
  PollRequest request_;
  std::unique_ptr<HttpClientConnection> connection_;
  Millis startedAt_;
  Millis connectedAt_{0};
  std::optional<Millis> responseStartedAt_;
};

}  // namespace stonewing
