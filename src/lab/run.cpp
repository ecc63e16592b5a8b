#include "lab/run.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <system_error>
#include <utility>

#include "lab/arrival_model.h"
#include "lab/emulated_servers.h"
#include "lab/endpoint_model.h"
#include "lab/load_generator.h"
#include "lab/timer_queue.h"

namespace stonewing::lab {
namespace {

constexpr Millis kReadyTimeout = 20000;
constexpr Millis kSampleInterval = 500;
constexpr Millis kProgressInterval = 1000;
constexpr Millis kStopTimeout = 4000;

// SIGINT and SIGTERM as events of the loop.
class Interrupts : public EventHandler {
 public:
  explicit Interrupts(EventLoop& loop) : loop_(loop) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    ::sigprocmask(SIG_BLOCK, &set, &before_);
    ::signal(SIGPIPE, SIG_IGN);
    fd_ = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd_ < 0 || !loop.watch(fd_, *this))
      throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  ~Interrupts() override {
    loop_.unwatch(fd_);
    ::close(fd_);
    ::sigprocmask(SIG_SETMASK, &before_, nullptr);
  }
  void onEvents(std::uint32_t) override {
    signalfd_siginfo info;
    while (::read(fd_, &info, sizeof info) == sizeof info) received = true;
  }
  bool received{false};

 private:
  EventLoop& loop_;
  int fd_;
  sigset_t before_{};
};

// An address that nobody listens at, kept by its port alone: freed here, taken by the dispatcher.
std::string freeAddress(int dispatcher) {
  std::string host = "127.0." + std::to_string(dispatcher + 1) + ".200";
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = *parseAddress(host + ":1");
  at.sin_port = 0;
  socklen_t size = sizeof at;
  bool good = fd >= 0 && ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
              ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
  if (fd >= 0) ::close(fd);
  if (!good) throw std::system_error(errno, std::generic_category(), "no address for a dispatcher");
  return host + ":" + std::to_string(ntohs(at.sin_port));
}

class SocketRun {
 public:
  SocketRun(const Experiment& experiment, std::uint64_t seed, const RunOptions& options)
      : experiment_(experiment),
        options_(options),
        interrupts_(loop_),
        arrivalModel_(experiment, seed, result_.trace),
        endpointModel_(experiment, seed ^ 0x5bd1e995u, result_.trace),
        servers_(loop_, timers_, clock_, experiment, endpointModel_, result_.trace) {
    std::vector<std::string> addresses;
    bool hangs = std::any_of(experiment.faults.begin(), experiment.faults.end(),
                             [](const Fault& t) { return t.kind == FaultKind::diskHang; });
    for (int d = 0; d < experiment.fleet.dispatchers; ++d) {
      addresses.push_back(freeAddress(d));
      std::string folder = options.folder + "/n" + std::to_string(d);
      processes_.push_back(
          std::make_unique<DispatcherProcess>(options.binary, folder, hangs ? STONEWING_HANG : ""));
      std::filesystem::remove(folder + "/state/journal");
      processes_.back()->configure(
          configurationOf(experiment, d, addresses.back(), servers_.discoveryAddress(d),
                          std::filesystem::absolute(folder + "/state").string(), servers_.endpointList(d)));
    }
    loadGenerator_ = std::make_unique<LoadGenerator>(loop_, timers_, clock_, experiment, arrivalModel_,
                                                     result_.trace, addresses);
    servers_.onNotification = [this](std::uint32_t message, int result, Millis wait) {
      if (result == 2) loadGenerator_->recordShed(message, wait);
    };
  }

  RunResult run() {
    clock_.epoch = steadyNow();
    int ready = 0;
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
      process(d).start();
      loadGenerator_->whenReady(d, [&ready] { ++ready; });
    }
    Millis by = steadyNow() + kReadyTimeout;
    while (ready < experiment_.fleet.dispatchers && !interrupts_.received) {
      runLoopOnce();
      for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
        if (!process(d).running())
          throw std::runtime_error("a dispatcher ended at its start; see " + process(d).folder() +
                                   "/log.txt");
      }
      if (loop_.now() > by)
        throw std::runtime_error("a dispatcher did not answer PING; see " + process(0).folder() + "/log.txt");
    }
    begin();
    Millis end = experiment_.end();
    while (clock_.now() < end && !interrupts_.received) {
      runLoopOnce();
      if (loadGenerator_->done() && clock_.now() > experiment_.duration && allMessagesEnded()) break;
    }
    result_.endedAt = clock_.now();
    result_.interrupted = interrupts_.received;
    finish();
    result_.maxLag = loadGenerator_->maxLag();
    return std::move(result_);
  }

 private:
  DispatcherProcess& process(int d) { return *processes_[static_cast<std::size_t>(d)]; }

  void runLoopOnce() { timer_.runOnce(timers_); }

  void begin() {
    result_.trace.events.clear();
    clock_.epoch = steadyNow();
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) record(TraceEventType::dispatcherUp, d);
    for (const Fault& t : experiment_.faults) {
      timers_.schedule(clock_.epoch + t.from, [this, &t] { applyFault(t, true); });
      timers_.schedule(clock_.epoch + t.until, [this, &t] { applyFault(t, false); });
    }
    sample();
    progress();
    loadGenerator_->start();
  }

  void record(TraceEventType type, int d, int status = 0) {
    result_.trace.events.push_back({.at = clock_.now(),
                                    .type = type,
                                    .dispatcher = static_cast<std::uint16_t>(d),
                                    .status = static_cast<std::int16_t>(status)});
  }

  void restart(int d) {
    process(d).start();
    loadGenerator_->whenReady(d, [this, d] { record(TraceEventType::dispatcherUp, d); });
  }

  void applyFault(const Fault& t, bool begins) {
    servers_.applyFault(t, begins);
    std::vector<int> affected = t.dispatchers.empty() ? std::vector<int>{0} : t.dispatchers;
    for (int d : affected) {
      switch (t.kind) {
        case FaultKind::kill:
          process(d).expectExit();
          if (begins) process(d).signal(SIGKILL), record(TraceEventType::dispatcherDown, d);
          if (!begins)
            timers_.schedule(loop_.now() + experiment_.fleet.restartDelay, [this, d] { restart(d); });
          break;
        case FaultKind::terminate:
          process(d).expectExit();
          if (begins) {
            process(d).signal(SIGTERM);
            record(TraceEventType::dispatcherDown, d, 2);
            timers_.schedule(loop_.now() + 3700, [this, d] {
              process(d).signal(SIGKILL);
              record(TraceEventType::dispatcherDown, d);
            });
          } else {
            Millis after = std::max(0.0, 3700 - (t.until - t.from));
            timers_.schedule(loop_.now() + after + experiment_.fleet.restartDelay, [this, d] { restart(d); });
          }
          break;
        case FaultKind::stop:
          process(d).signal(begins ? SIGSTOP : SIGCONT);
          record(begins ? TraceEventType::dispatcherDown : TraceEventType::dispatcherUp, d, 1);
          break;
        case FaultKind::diskFull:
          process(d).limitFileSize(begins);
          break;
        case FaultKind::diskHang:
          process(d).blockJournalWrites(begins);
          break;
        default:
          return;
      }
    }
  }

  // Nothing is owed any more: each message that was accepted has been delivered or ended by a notice.
  bool allMessagesEnded() {
    if (loop_.now() < nextEndCheckAt_) return false;
    nextEndCheckAt_ = loop_.now() + kSampleInterval;
    const Trace& t = result_.trace;
    std::vector<bool> unfinished(t.messages.size(), false);
    for (const TraceEvent& e : t.events) {
      if (e.type == TraceEventType::accepted) unfinished[e.message] = true;
    }
    for (const TraceEvent& e : t.events) {
      bool delivered = e.type == TraceEventType::responded && (e.status == 200 || e.status == 3);
      if (delivered || e.type == TraceEventType::notificationReceived) unfinished[e.message] = false;
    }
    for (const Fault& fault : experiment_.faults) {
      if (clock_.now() < fault.until + 2 * kSampleInterval) return false;
    }
    return std::find(unfinished.begin(), unfinished.end(), true) == unfinished.end();
  }

  void sample() {
    UsageSample s{clock_.now(), {}};
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
      bool was = process(d).crashed();
      process(d).running();
      if (process(d).crashed() && !was) {
        result_.crashes.push_back("dispatcher " + std::to_string(d) + " ended by itself at " +
                                  std::to_string(static_cast<int>(clock_.now())) + " ms");
        record(TraceEventType::dispatcherDown, d);
      }
      s.dispatchers.push_back(process(d).usage());
    }
    result_.usage.push_back(std::move(s));
    timers_.schedule(loop_.now() + kSampleInterval, [this] { sample(); });
  }

  void progress() {
    if (!options_.progress) return;
    options_.progress(clock_.now(), result_.trace.events.size());
    timers_.schedule(loop_.now() + kProgressInterval, [this] { progress(); });
  }

  void finish() {
    for (auto& p : processes_) {
      p->expectExit();
      p->signal(SIGCONT);
      p->signal(SIGTERM);
    }
    Millis by = steadyNow() + kStopTimeout;
    for (bool running = true; running && steadyNow() < by;) {
      runLoopOnce();
      running = false;
      for (auto& p : processes_) running = p->running() || running;
    }
  }

  const Experiment& experiment_;
  const RunOptions& options_;
  EventLoop loop_;
  TimerQueue timers_;
  PreciseTimer timer_{loop_};
  ExperimentClock clock_{loop_};
  Interrupts interrupts_;
  RunResult result_;
  ArrivalModel arrivalModel_;
  EndpointModel endpointModel_;
  EmulatedServers servers_;
  std::vector<std::unique_ptr<DispatcherProcess>> processes_;
  std::unique_ptr<LoadGenerator> loadGenerator_;
  Millis nextEndCheckAt_{0};
};

}  // namespace

RunResult runOnSockets(const Experiment& experiment, std::uint64_t seed, const RunOptions& options) {
  return SocketRun(experiment, seed, options).run();
}

void serveEnvironment(const Experiment& experiment, std::uint64_t seed, const std::string& folder) {
  EventLoop loop;
  TimerQueue timers;
  PreciseTimer timer(loop);
  ExperimentClock clock{loop, steadyNow()};
  Interrupts interrupts(loop);
  Trace trace;
  EndpointModel endpointModel(experiment, seed ^ 0x5bd1e995u, trace);
  EmulatedServers servers(loop, timers, clock, experiment, endpointModel, trace);
  servers.acceptUnknownMessages();
  for (int d = 0; d < experiment.fleet.dispatchers; ++d) {
    std::string own = folder + "/n" + std::to_string(d);
    std::filesystem::create_directories(own + "/state");
    std::string listen = freeAddress(d);
    std::string state = std::filesystem::absolute(own + "/state").string();
    std::ofstream(own + "/config.json") << configurationOf(experiment, d, listen, servers.discoveryAddress(d),
                                                           state, servers.endpointList(d));
    std::printf("dispatcher %d: serve --config %s/config.json, then listens at %s\n", d, own.c_str(),
                listen.c_str());
  }
  std::fflush(stdout);
  for (const Fault& t : experiment.faults) {
    timers.schedule(clock.epoch + t.from, [&servers, &t] { servers.applyFault(t, true); });
    timers.schedule(clock.epoch + t.until, [&servers, &t] { servers.applyFault(t, false); });
  }
  while (!interrupts.received) {
    timer.runOnce(timers);
  }
  saveTrace(trace, folder);
}

RunResult generateLoad(const Experiment& experiment, std::uint64_t seed,
                       const std::vector<std::string>& dispatchers,
                       const std::function<void(Millis, std::size_t)>& progress) {
  RunResult result;
  EventLoop loop;
  TimerQueue timers;
  PreciseTimer timer(loop);
  ExperimentClock clock{loop, steadyNow()};
  Interrupts interrupts(loop);
  ArrivalModel arrivalModel(experiment, seed, result.trace);
  LoadGenerator loadGenerator(loop, timers, clock, experiment, arrivalModel, result.trace, dispatchers);
  loadGenerator.start();
  Millis nextProgressAt = 0;
  while (!interrupts.received && !loadGenerator.done() && clock.now() < experiment.end()) {
    timer.runOnce(timers);
    if (progress && clock.now() > nextProgressAt) {
      progress(clock.now(), result.trace.events.size());
      nextProgressAt = clock.now() + kProgressInterval;
    }
  }
  result.maxLag = loadGenerator.maxLag();
  result.interrupted = interrupts.received;
  result.endedAt = clock.now();
  return result;
}

}  // namespace stonewing::lab
