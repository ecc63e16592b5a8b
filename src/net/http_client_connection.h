#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/event_loop.h"

namespace stonewing {

// Reads one HTTP/1.1 answer in place: it keeps positions, the bytes stay with the connection.
class HttpResponseParser {
 public:
  enum class Progress { needsMore, complete, malformed };
  // bytes: all that has come for this answer. ended: nothing more will.
  Progress parse(std::string_view bytes, bool ended);
  int status() const { return status_; }      // 0 until the first line is whole
  bool keepsAlive() const { return keeps_; }  // the connection may be used again
  std::string_view header(std::string_view bytes, std::string_view name) const;
  std::string_view body(std::string_view bytes) const;
  std::size_t length() const { return end_; }
  // How long the answer will be at the least, as far as it says so.
  std::size_t announcedLength() const { return bodyAt_ + (untilEnd_ ? 0 : bodyLength_); }

 private:
  Progress firstLine(std::string_view bytes);
  Progress head(std::string_view bytes);
  Progress chunks(std::string_view bytes);

  std::size_t begin_{0};      // of the first line; moves past interim answers
  std::size_t headersAt_{0};  // 0: the first line is not whole
  std::size_t bodyAt_{0};     // 0: the head is not whole
  std::size_t end_{0};
  std::size_t chunkAt_{0};
  std::size_t bodyLength_{0};
  std::string decoded_;
  int status_{0};
  bool keeps_{true};
  bool chunked_{false};
  bool untilEnd_{false};
};

// A number in decimal digits alone.
std::optional<std::uint64_t> parseWholeNumber(std::string_view digits);

// A connection to a server, for one exchange at a time. Its owner hears of each end exactly once.
class HttpClientConnection : public EventHandler {
 public:
  struct Observer {
    virtual ~Observer() = default;
    // A connection is up. False: its exchange must not begin any more, and the owner has closed it.
    virtual bool mayStartExchange(HttpClientConnection&) { return true; }
    // More of an exchange that is half written may go out. False: it must not, and the owner has closed it.
    virtual bool mayContinueExchange(HttpClientConnection&) { return true; }
    // Some of the answer has come; the rest has yet to come, if it ever does.
    virtual void onResponseStarted(HttpClientConnection&) {}
    virtual void onResponse(
        HttpClientConnection& link) = 0;  // the answer is whole; the link may be used again if open()
    virtual void onBroken(HttpClientConnection& link) = 0;  // with an exchange or without one; it is closed
  };
  HttpClientConnection(EventLoop& loop, Observer& owner, std::size_t mostAnswer)
      : loop_(loop), observer_(owner), most_(mostAnswer) {}
  ~HttpClientConnection() override { close(); }

  // Closes a link, which may be in the middle of its own event, and lets go of it.
  static void closeLater(EventLoop& loop, std::unique_ptr<HttpClientConnection>& link) {
    if (!link) return;
    link->close();
    loop.deferDeletion(std::move(link));
  }

  // Opens a connection. False: it could not even begin, for want of something of our own (lacking) or since
  // it was refused.
  bool open(const sockaddr_in& to);
  bool isOutOfResources() const { return lacking_; }
  void add(std::string piece) { out_.add(std::move(piece)); }
  void add(std::shared_ptr<const std::string> piece) { out_.add(std::move(piece)); }
  // What was added goes out as one exchange; errors are told in a later turn.
  void startExchange();
  void close();
  // Takes what has come and was not handed out yet. Its owner may hear of the end by it, and release it.
  void readPending() {
    if (fd_ >= 0 && up_ && busy_) read(true);
  }
  // Nothing is lost on it yet: no end and no stray byte has come while it stood idle.
  bool isReusable() const;

  bool isOpen() const { return fd_ >= 0; }
  bool isConnected() const { return up_; }
  bool isBusy() const { return busy_; }
  // Something came back. An answer that began and has no good end was spoilt: the call has run.
  bool hasReceived() const { return !in_.empty(); }
  bool isRequestWritten() const { return busy_ && up_ && out_.empty(); }
  int status() const { return answer_.status(); }
  std::string_view header(std::string_view name) const { return answer_.header(in_, name); }
  std::string_view body() const { return answer_.body(in_); }

  void onEvents(std::uint32_t events) override;

 private:
  void write();
  void read(bool mayHaveEnded);
  void fail();

  EventLoop& loop_;
  Observer& observer_;
  std::size_t most_;
  int fd_{-1};
  bool up_{false};
  bool busy_{false};
  bool lacking_{false};
  std::string in_;
  WriteBuffer out_;
  HttpResponseParser answer_;
};

}  // namespace stonewing
