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

constexpr Millis kAvoid = 100;  // a connection that was refused is not tried again for so long
constexpr std::size_t kAnswerMost = 64 * 1024;
constexpr std::size_t kBodyBytes = 120;
constexpr Millis kPingEvery = 25;

// What a command is answered.
struct Answer {
  What what{What::failed};
  Millis wait{0};
};

Answer readAnswer(const redisReply& reply) {
  std::string_view text(reply.str != nullptr ? reply.str : "", reply.str != nullptr ? reply.len : 0);
  if (reply.type == REDIS_REPLY_STATUS || reply.type == REDIS_REPLY_STRING) return {What::taken, 0};
  if (reply.type != REDIS_REPLY_ERROR || !text.starts_with("BUSY")) return {What::failed, 0};
  Answer answer{What::busy, 0};
  if (text.size() > 5) std::from_chars(text.data() + 5, text.data() + text.size(), answer.wait);
  return answer;
}

}  // namespace

class Load::Link : public EventHandler {
 public:
  Link(Load& load, int dispatcher) : dispatcher(dispatcher), load_(load), reader_(redisReaderCreate()) {}
  ~Link() override {
    close();
    redisReaderFree(reader_);
  }
  bool open() {
    auto to = parseAddress(load_.dispatchers_[static_cast<std::size_t>(dispatcher)]);
    if (!to) return false;
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0) return false;
    int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&*to), sizeof *to) != 0 && errno != EINPROGRESS)
      return false;
    return load_.loop_.watch(fd_, *this);
  }
  void send(std::string bytes) {
    out_.add(std::move(bytes));
    if (up_ && out_.write(fd_) == WriteBuffer::WriteResult::broken) load_.loop_.reschedule(fd_);
  }
  void close() {
    if (fd_ < 0) return;
    load_.loop_.unwatch(fd_);
    ::close(std::exchange(fd_, -1));
  }
  void onEvents(std::uint32_t) override {
    if (fd_ < 0) return;
    if (!up_) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return load_.ended(*this, true);
      sockaddr_in peer{};
      size = sizeof peer;
      if (::getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return;  // not yet
      up_ = true;
    }
    if (out_.write(fd_) == WriteBuffer::WriteResult::broken) return load_.ended(*this, false);
    std::string in;
    ReadResult got = readAvailable(fd_, in, kAnswerMost);
    redisReaderFeed(reader_, in.data(), in.size());
    for (;;) {
      void* raw = nullptr;
      if (redisReaderGetReply(reader_, &raw) != REDIS_OK) return load_.ended(*this, false);
      if (raw == nullptr) break;
      auto* reply = static_cast<redisReply*>(raw);
      Answer answer = readAnswer(*reply);
      freeReplyObject(raw);
      heard(answer);
      if (fd_ < 0) return;
    }
    if (got == ReadResult::endOfStream || got == ReadResult::broken) return load_.ended(*this, false);
    if (got == ReadResult::more) load_.loop_.reschedule(fd_);
  }
  void heard(const Answer& answer) {
    if (pong) return std::exchange(pong, {})();
    if (!busy) return;  // nobody waits for it
    busy = false;
    --load_.waiting_;
    load_.trace_.events.push_back(
        {.at = load_.clock_.now(), .what = answer.what, .callback = callback, .span = answer.wait});
    if (answer.what == What::busy) load_.clients_.refused(load_.clock_.now(), callback, answer.wait);
    if (answer.what == What::failed) return load_.ended(*this, false);
    load_.idle_[static_cast<std::size_t>(dispatcher)].push_back(this);
    load_.next();
  }

  int dispatcher;
  bool busy{false};
  std::uint32_t callback{0};
  std::uint64_t turn{0};  // of its commands, so that an old patience ends no newer one
  std::function<void()> pong;

 private:
  Load& load_;
  redisReader* reader_;
  int fd_{-1};
  bool up_{false};
  WriteBuffer out_;
};

Load::Load(EventLoop& loop, Agenda& agenda, const Clock& clock, const Plan& plan, Clients& clients,
           Trace& trace, std::vector<std::string> dispatchers)
    : loop_(loop),
      agenda_(agenda),
      clock_(clock),
      plan_(plan),
      clients_(clients),
      trace_(trace),
      dispatchers_(std::move(dispatchers)),
      idle_(dispatchers_.size()),
      avoidUntil_(dispatchers_.size(), -1),
      padding_(kBodyBytes, 'x') {}

Load::~Load() = default;

void Load::start() {
  started_ = true;
  next();
}

void Load::shed(std::uint32_t callback, Millis wait) {
  clients_.refused(clock_.now(), callback, wait);
  next();
}

void Load::next() {
  if (!started_) return;
  Millis now = clock_.now();
  while (auto callback = clients_.next(now)) hand(*callback);
  auto due = clients_.due();
  if (!due || (asked_ >= now && asked_ <= *due)) return;
  asked_ = *due;
  agenda_.at(clock_.epoch + *due, [this] { next(); });
}

std::string Load::command(std::uint32_t callback) const {
  const Handed& c = trace_.callbacks[callback];
  const TypePlan& type = plan_.types[c.type];
  char key[20];
  std::snprintf(key, sizeof key, "%016x", c.key);
  char fields[200];
  std::snprintf(fields, sizeof fields, "c=%s,t=tenant-%u,d=%.0f,dest=%u", type.name.c_str(), c.tenant,
                std::max(0.0, std::floor(clients_.left(callback, clock_.now()))), c.destination);
  std::string list = fields;
  if (type.terms.idempotency == Idempotency::idempotentWithKey) list += ",k=" + World::refOf(c.origin);
  if (clients_.again(callback)) list += ",r=1";
  std::string ref = World::refOf(callback);
  std::string body = "callback " + ref + " " + padding_;
  const char* words[] = {"SUBMIT", key, ref.c_str(), list.c_str(), body.data()};
  std::size_t lengths[] = {6, 16, ref.size(), list.size(), body.size()};
  char* bytes = nullptr;
  auto length = redisFormatCommandArgv(&bytes, 5, words, lengths);
  std::string text(bytes, static_cast<std::size_t>(length));
  redisFreeCommand(bytes);
  return text;
}

void Load::hand(std::uint32_t callback) {
  Millis now = clock_.now();
  if (clients_.left(callback, now) <= 0) return;
  for (std::size_t n = 0; n < dispatchers_.size(); ++n) {
    std::size_t d = turn_++ % dispatchers_.size();
    if (avoidUntil_[d] > now) continue;
    Link* link = nullptr;
    if (!idle_[d].empty()) {
      link = idle_[d].back();
      idle_[d].pop_back();
    } else {
      auto fresh = std::make_unique<Link>(*this, static_cast<int>(d));
      if (!fresh->open()) {
        avoidUntil_[d] = now + kAvoid;
        continue;
      }
      link = fresh.get();
      links_.push_back(std::move(fresh));
    }
    return submit(*link, callback);
  }
  clients_.refused(now, callback, 0);
}

void Load::submit(Link& link, std::uint32_t callback) {
  Millis now = clock_.now();
  const Handed& c = trace_.callbacks[callback];
  if (c.origin == callback) worstLag_ = std::max(worstLag_, now - c.due);
  trace_.events.push_back({.at = now,
                           .what = What::handedIn,
                           .callback = callback,
                           .dispatcher = static_cast<std::uint16_t>(link.dispatcher),
                           .span = clients_.left(callback, now)});
  link.busy = true;
  link.callback = callback;
  ++waiting_;
  std::uint64_t turn = ++link.turn;
  link.send(command(callback));
  agenda_.at(loop_.now() + Clients::kPatience, [this, at = &link, turn, callback] {
    auto found = std::find_if(links_.begin(), links_.end(), [&](const auto& l) { return l.get() == at; });
    if (found == links_.end() || !at->busy || at->turn != turn || at->callback != callback) return;
    at->busy = false;
    --waiting_;
    trace_.events.push_back({.at = clock_.now(), .what = What::unanswered, .callback = callback});
    clients_.unanswered(clock_.now(), callback);
    gone(*at);
    next();
  });
}

void Load::ended(Link& link, bool refusedConnect) {
  auto d = static_cast<std::size_t>(link.dispatcher);
  if (refusedConnect) avoidUntil_[d] = clock_.now() + kAvoid;
  if (link.busy) {
    link.busy = false;
    --waiting_;
    std::uint32_t callback = link.callback;
    if (refusedConnect) {
      // Never handed in: the front deals it to another.
      clients_.refused(clock_.now(), callback, 1);
      trace_.events.push_back({.at = clock_.now(), .what = What::failed, .callback = callback, .status = 1});
    } else {
      trace_.events.push_back({.at = clock_.now(), .what = What::failed, .callback = callback});
      clients_.unanswered(clock_.now(), callback);
    }
  }
  gone(link);
  next();
}

void Load::gone(Link& link) {
  for (auto& pool : idle_) std::erase(pool, &link);
  auto at = std::find_if(links_.begin(), links_.end(), [&](const auto& l) { return l.get() == &link; });
  if (at == links_.end()) return;
  link.close();
  loop_.deferDeletion(std::move(*at));
  links_.erase(at);
}

void Load::whenReady(int dispatcher, std::function<void()> then) {
  auto done = std::make_shared<bool>(false);
  auto link = std::make_unique<Link>(*this, dispatcher);
  Link* asked = link.get();
  if (link->open()) {
    links_.push_back(std::move(link));
    asked->pong = [this, asked, done, then] {
      *done = true;
      gone(*asked);
      then();
    };
    asked->send("*1\r\n$4\r\nPING\r\n");
  }
  agenda_.at(loop_.now() + kPingEvery, [this, asked, done, dispatcher, then] {
    if (*done) return;
    auto at = std::find_if(links_.begin(), links_.end(), [&](const auto& l) { return l.get() == asked; });
    if (at != links_.end() && asked->pong) gone(*asked);
    whenReady(dispatcher, then);
  });
}

}  // namespace stonewing::lab
