#include "lab/load_generator.h"

#include <hiredis/hiredis.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

#include "lab/emulated_servers.h"

namespace stonewing::lab {
namespace {

// A dispatcher that refused a connection gets no new one for this long.
constexpr Millis kRefusedDispatcherPause = 100;
constexpr std::size_t kMaxResponseBytes = 64 * 1024;
constexpr std::size_t kBodyBytes = 120;
constexpr Millis kPingInterval = 25;

// The dispatcher's response to a SUBMIT command.
struct CommandResponse {
  TraceEventType type{TraceEventType::failed};
  Millis retryAfter{0};  // of a rejection; 0: the response has none
};

CommandResponse parseResponse(const redisReply& reply) {
  std::string_view text(reply.str != nullptr ? reply.str : "", reply.str != nullptr ? reply.len : 0);
  if (reply.type == REDIS_REPLY_STATUS || reply.type == REDIS_REPLY_STRING)
    return {TraceEventType::accepted, 0};
  if (reply.type != REDIS_REPLY_ERROR || !text.starts_with("BUSY")) return {TraceEventType::failed, 0};
  CommandResponse response{TraceEventType::rejected, 0};
  if (text.size() > 5) std::from_chars(text.data() + 5, text.data() + text.size(), response.retryAfter);
  return response;
}

}  // namespace

class LoadGenerator::ClientConnection : public EventHandler {
 public:
  ClientConnection(LoadGenerator& generator, int dispatcher)
      : dispatcher(dispatcher), generator_(generator), reader_(redisReaderCreate()) {}
  ~ClientConnection() override {
    close();
    redisReaderFree(reader_);
  }
  bool open() {
    auto address = parseAddress(generator_.dispatchers_[static_cast<std::size_t>(dispatcher)]);
    if (!address) return false;
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0) return false;
    int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&*address), sizeof *address) != 0 && errno != EINPROGRESS)
      return false;
    return generator_.loop_.watch(fd_, *this);
  }
  void send(std::string bytes) {
    out_.add(std::move(bytes));
    if (connected_ && out_.write(fd_) == WriteBuffer::WriteResult::broken) generator_.loop_.reschedule(fd_);
  }
  void close() {
    if (fd_ < 0) return;
    generator_.loop_.unwatch(fd_);
    ::close(std::exchange(fd_, -1));
  }
  void onEvents(std::uint32_t) override {
    if (fd_ < 0) return;
    if (!connected_) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return generator_.connectionEnded(*this, true);
      sockaddr_in peer{};
      size = sizeof peer;
      if (::getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return;  // not connected yet
      connected_ = true;
    }
    if (out_.write(fd_) == WriteBuffer::WriteResult::broken) return generator_.connectionEnded(*this, false);
    std::string in;
    ReadResult readResult = readAvailable(fd_, in, kMaxResponseBytes);
    redisReaderFeed(reader_, in.data(), in.size());
    for (;;) {
      void* raw = nullptr;
      if (redisReaderGetReply(reader_, &raw) != REDIS_OK) return generator_.connectionEnded(*this, false);
      if (raw == nullptr) break;
      auto* reply = static_cast<redisReply*>(raw);
      CommandResponse response = parseResponse(*reply);
      freeReplyObject(raw);
      handleResponse(response);
      if (fd_ < 0) return;
    }
    if (readResult == ReadResult::endOfStream || readResult == ReadResult::broken)
      return generator_.connectionEnded(*this, false);
    if (readResult == ReadResult::more) generator_.loop_.reschedule(fd_);
  }
  void handleResponse(const CommandResponse& response) {
    if (onPong) return std::exchange(onPong, {})();
    if (!awaitingResponse) return;  // no command awaits it
    awaitingResponse = false;
    --generator_.awaitingResponse_;
    generator_.trace_.events.push_back({.at = generator_.clock_.now(),
                                        .type = response.type,
                                        .message = message,
                                        .duration = response.retryAfter});
    if (response.type == TraceEventType::rejected)
      generator_.arrivalModel_.recordRejection(generator_.clock_.now(), message, response.retryAfter);
    if (response.type == TraceEventType::failed) return generator_.connectionEnded(*this, false);
    generator_.idleConnections_[static_cast<std::size_t>(dispatcher)].push_back(this);
    generator_.submitDue();
  }

  int dispatcher;
  bool awaitingResponse{false};
  std::uint32_t message{0};
  // Number of the last command, so that the timeout of an earlier one does not end it.
  std::uint64_t commandNumber{0};
  std::function<void()> onPong;

 private:
  LoadGenerator& generator_;
  redisReader* reader_;
  int fd_{-1};
  bool connected_{false};
  WriteBuffer out_;
};

LoadGenerator::LoadGenerator(EventLoop& loop, TimerQueue& timers, const ExperimentClock& clock,
                             const Experiment& experiment, ArrivalModel& arrivalModel, Trace& trace,
                             std::vector<std::string> dispatchers)
    : loop_(loop),
      timers_(timers),
      clock_(clock),
      experiment_(experiment),
      arrivalModel_(arrivalModel),
      trace_(trace),
      dispatchers_(std::move(dispatchers)),
      idleConnections_(dispatchers_.size()),
      avoidUntil_(dispatchers_.size(), -1),
      padding_(kBodyBytes, 'x') {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start() {
  started_ = true;
  submitDue();
}

void LoadGenerator::recordShed(std::uint32_t message, Millis retryAfter) {
  arrivalModel_.recordRejection(clock_.now(), message, retryAfter);
  submitDue();
}

void LoadGenerator::submitDue() {
  if (!started_) return;
  Millis now = clock_.now();
  while (auto message = arrivalModel_.nextDue(now)) submit(*message);
  auto due = arrivalModel_.nextDueTime();
  bool isTimerPending = timerAt_ && *timerAt_ >= now;
  if (!due || (isTimerPending && *timerAt_ <= *due)) return;
  timerAt_ = *due;
  timers_.schedule(clock_.epoch + *due, [this] { submitDue(); });
}

std::string LoadGenerator::submitCommand(std::uint32_t message) const {
  const SubmittedMessage& submitted = trace_.messages[message];
  const TrafficTypeSettings& type = experiment_.types[submitted.type];
  char key[20];
  std::snprintf(key, sizeof key, "%016x", submitted.key);
  char fields[200];
  std::snprintf(fields, sizeof fields, "c=%s,t=tenant-%u,d=%.0f,dest=%u", type.name.c_str(), submitted.tenant,
                std::max(0.0, std::floor(arrivalModel_.timeLeft(message, clock_.now()))),
                submitted.destination);
  std::string attributes = fields;
  if (type.settings.idempotency == Idempotency::idempotentWithKey)
    attributes += ",k=" + EmulatedServers::messageReference(submitted.origin);
  if (arrivalModel_.isResubmission(message)) attributes += ",r=1";
  std::string reference = EmulatedServers::messageReference(message);
  std::string body = "callback " + reference + " " + padding_;
  const char* arguments[] = {"SUBMIT", key, reference.c_str(), attributes.c_str(), body.data()};
  std::size_t lengths[] = {6, 16, reference.size(), attributes.size(), body.size()};
  char* bytes = nullptr;
  auto length = redisFormatCommandArgv(&bytes, 5, arguments, lengths);
  std::string text(bytes, static_cast<std::size_t>(length));
  redisFreeCommand(bytes);
  return text;
}

void LoadGenerator::submit(std::uint32_t message) {
  Millis now = clock_.now();
  if (arrivalModel_.timeLeft(message, now) <= 0) return;
  for (std::size_t tried = 0; tried < dispatchers_.size(); ++tried) {
    std::size_t d = nextDispatcher_++ % dispatchers_.size();
    ClientConnection* connection = nullptr;
    if (!idleConnections_[d].empty()) {  // it is used until it ends, whether or not new ones are refused
      connection = idleConnections_[d].back();
      idleConnections_[d].pop_back();
    } else {
      if (avoidUntil_[d] > now) continue;
      auto opened = std::make_unique<ClientConnection>(*this, static_cast<int>(d));
      if (!opened->open()) {
        avoidUntil_[d] = now + kRefusedDispatcherPause;
        continue;
      }
      connection = opened.get();
      connections_.push_back(std::move(opened));
    }
    return sendCommand(*connection, message);
  }
  arrivalModel_.recordRejection(now, message, 0);
}

void LoadGenerator::sendCommand(ClientConnection& connection, std::uint32_t message) {
  Millis now = clock_.now();
  const SubmittedMessage& submitted = trace_.messages[message];
  if (submitted.origin == message) maxLag_ = std::max(maxLag_, now - submitted.due);
  trace_.events.push_back({.at = now,
                           .type = TraceEventType::submitted,
                           .message = message,
                           .dispatcher = static_cast<std::uint16_t>(connection.dispatcher),
                           .duration = arrivalModel_.timeLeft(message, now)});
  connection.awaitingResponse = true;
  connection.message = message;
  ++awaitingResponse_;
  std::uint64_t commandNumber = ++connection.commandNumber;
  connection.send(submitCommand(message));
  timers_.schedule(
      loop_.now() + ArrivalModel::kClientTimeout, [this, sender = &connection, commandNumber, message] {
        auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& candidate) { return candidate.get() == sender; });
        if (found == connections_.end() || !sender->awaitingResponse ||
            sender->commandNumber != commandNumber || sender->message != message)
          return;
        sender->awaitingResponse = false;
        --awaitingResponse_;
        trace_.events.push_back({.at = clock_.now(), .type = TraceEventType::unanswered, .message = message});
        arrivalModel_.recordTimeout(clock_.now(), message);
        removeConnection(*sender);
        submitDue();
      });
}

void LoadGenerator::connectionEnded(ClientConnection& connection, bool connectRefused) {
  auto d = static_cast<std::size_t>(connection.dispatcher);
  if (connectRefused) avoidUntil_[d] = clock_.now() + kRefusedDispatcherPause;
  if (connection.awaitingResponse) {
    connection.awaitingResponse = false;
    --awaitingResponse_;
    std::uint32_t message = connection.message;
    if (connectRefused) {
      // The dispatcher has not received the command, so the client submits it to another one in 1 ms.
      arrivalModel_.recordRejection(clock_.now(), message, 1);
      trace_.events.push_back(
          {.at = clock_.now(), .type = TraceEventType::failed, .message = message, .status = 1});
    } else {
      trace_.events.push_back({.at = clock_.now(), .type = TraceEventType::failed, .message = message});
      arrivalModel_.recordTimeout(clock_.now(), message);
    }
  }
  removeConnection(connection);
  submitDue();
}

void LoadGenerator::removeConnection(ClientConnection& connection) {
  for (auto& pool : idleConnections_) std::erase(pool, &connection);
  auto position = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& candidate) { return candidate.get() == &connection; });
  if (position == connections_.end()) return;
  connection.close();
  loop_.deferDeletion(std::move(*position));
  connections_.erase(position);
}

void LoadGenerator::whenReady(int dispatcher, std::function<void()> onReady) {
  auto done = std::make_shared<bool>(false);
  auto connection = std::make_unique<ClientConnection>(*this, dispatcher);
  ClientConnection* pinged = connection.get();
  if (connection->open()) {
    connections_.push_back(std::move(connection));
    pinged->onPong = [this, pinged, done, onReady] {
      *done = true;
      removeConnection(*pinged);
      onReady();
    };
    pinged->send("*1\r\n$4\r\nPING\r\n");
  }
  timers_.schedule(loop_.now() + kPingInterval, [this, pinged, done, dispatcher, onReady] {
    if (*done) return;
    auto position = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& candidate) { return candidate.get() == pinged; });
    if (position != connections_.end() && pinged->onPong) removeConnection(*pinged);
    whenReady(dispatcher, onReady);
  });
}

}  // namespace stonewing::lab
