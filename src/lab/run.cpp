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
#include "lab/idle_clients.h"
#include "lab/load_generator.h"
#include "lab/timer_queue.h"

namespace stonewing::lab {
namespace {

constexpr Millis kReadyTimeout = 20000;
constexpr Millis kSampleInterval = 500;
constexpr Millis kProgressInterval = 1000;
constexpr Millis kStopTimeout = 4000;

// Receives SIGINT and SIGTERM as events of the loop. Their default action would end this process before the
// dispatchers are stopped and the result is returned. Also ignores SIGPIPE, so that a write to a closed
// connection fails with EPIPE.
class Interrupts : public EventHandler {
 public:
  explicit Interrupts(EventLoop& loop) : loop_(loop) {
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGINT);
    sigaddset(&stopSignals, SIGTERM);
    ::sigprocmask(SIG_BLOCK, &stopSignals, &previousMask_);
    ::signal(SIGPIPE, SIG_IGN);
    fd_ = ::signalfd(-1, &stopSignals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd_ < 0 || !loop.watch(fd_, *this))
      throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  ~Interrupts() override {
    loop_.unwatch(fd_);
    ::close(fd_);
    ::sigprocmask(SIG_SETMASK, &previousMask_, nullptr);
  }
  void onEvents(std::uint32_t) override {
    signalfd_siginfo info;
    while (::read(fd_, &info, sizeof info) == sizeof info) received = true;
  }
  bool received{false};

 private:
  EventLoop& loop_;
  int fd_;
  sigset_t previousMask_{};
};

// A loopback address with a free port for a dispatcher to listen at. The port is chosen by binding a socket
// that is closed again, so another process may bind the port before the dispatcher does.
std::string freeAddress(int dispatcher) {
  std::string host = "127.0." + std::to_string(dispatcher + 1) + ".200";
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = *parseAddress(host + ":1");
  address.sin_port = 0;
  socklen_t size = sizeof address;
  bool bound = fd >= 0 && ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
               ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (fd >= 0) ::close(fd);
  if (!bound)
    throw std::system_error(errno, std::generic_category(),
                            "cannot bind a free loopback port for a dispatcher");
  return host + ":" + std::to_string(ntohs(address.sin_port));
}

class SocketRun {
 public:
  SocketRun(const Experiment& experiment, std::uint64_t seed, const RunOptions& options)
      : experiment_(experiment),
        options_(options),
        interrupts_(loop_),
        arrivalModel_(experiment, seed, result_.trace),
        endpointModel_(experiment, seed ^ 0x5bd1e995u, result_.trace),
        servers_(loop_, timers_, clock_, experiment, seed ^ 0x2545f491u, endpointModel_, result_.trace) {
    bool hasDiskHang = std::any_of(experiment.faults.begin(), experiment.faults.end(),
                                   [](const Fault& fault) { return fault.kind == FaultKind::diskHang; });
    for (int d = 0; d < experiment.fleet.dispatchers; ++d) {
      addresses_.push_back(freeAddress(d));
      idleClients_.push_back(std::make_unique<IdleClients>(loop_, timers_, addresses_.back(), [this, d] {
        record(TraceEventType::faultStruck, d, static_cast<int>(FaultKind::clientCrowd));
      }));
      std::string folder = options.folder + "/n" + std::to_string(d);
      processes_.push_back(
          std::make_unique<DispatcherProcess>(options.binary, folder, hasDiskHang ? STONEWING_HANG : ""));
      std::filesystem::remove(folder + "/state/journal");
      knownLists_.push_back(servers_.endpointList(d));
      configure(d);
    }
    loadGenerator_ = std::make_unique<LoadGenerator>(loop_, timers_, clock_, experiment, arrivalModel_,
                                                     result_.trace, addresses_);
    servers_.onNotification = [this](std::uint32_t message, int result, Millis retryAfter) {
      if (result == 2) loadGenerator_->recordShed(message, retryAfter);
    };
  }

  RunResult run() {
    clock_.epoch = steadyNow();
    int ready = 0;
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
      process(d).start();
      loadGenerator_->whenReady(d, [&ready] { ++ready; });
    }
    Millis deadline = steadyNow() + kReadyTimeout;
    while (ready < experiment_.fleet.dispatchers && !interrupts_.received) {
      runLoopOnce();
      for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
        if (!process(d).running())
          throw std::runtime_error("a dispatcher exited before all had answered PING; see " +
                                   process(d).folder() + "/log.txt");
      }
      if (loop_.now() > deadline)
        throw std::runtime_error(
            "not every dispatcher answered PING within the start-up timeout; see the log of the first, " +
            process(0).folder() + "/log.txt");
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

  void configure(int d) {
    std::string state = std::filesystem::absolute(process(d).folder() + "/state").string();
    process(d).configure(configurationOf(experiment_, d, addresses_[static_cast<std::size_t>(d)],
                                         servers_.discoveryAddress(d), state,
                                         knownLists_[static_cast<std::size_t>(d)]));
  }

  void moveDiscovery(int d) {
    servers_.moveDiscovery(d);
    configure(d);
    process(d).signal(SIGHUP);
  }

  void runLoopOnce() { timer_.runOnce(timers_); }

  void begin() {
    result_.trace.events.clear();
    clock_.epoch = steadyNow();
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) record(TraceEventType::dispatcherUp, d);
    for (const Fault& fault : experiment_.faults) {
      timers_.schedule(clock_.epoch + fault.from, [this, &fault] { applyFault(fault, true); });
      timers_.schedule(clock_.epoch + fault.until, [this, &fault] { applyFault(fault, false); });
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

  void applyFault(const Fault& fault, bool begins) {
    servers_.applyFault(fault, begins);
    std::vector<int> affected = fault.dispatchers.empty() ? std::vector<int>{0} : fault.dispatchers;
    for (int d : affected) {
      switch (fault.kind) {
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
            // A dispatcher that still runs 3700 ms after SIGTERM is killed. It is not restarted earlier.
            timers_.schedule(loop_.now() + 3700, [this, d] {
              process(d).signal(SIGKILL);
              record(TraceEventType::dispatcherDown, d);
            });
          } else {
            Millis remaining = std::max(0.0, 3700 - (fault.until - fault.from));
            timers_.schedule(loop_.now() + remaining + experiment_.fleet.restartDelay,
                             [this, d] { restart(d); });
          }
          break;
        case FaultKind::stop:
          process(d).signal(begins ? SIGSTOP : SIGCONT);
          record(begins ? TraceEventType::dispatcherDown : TraceEventType::dispatcherUp, d, 1);
          break;
        case FaultKind::discoveryMoved:
          if (begins) moveDiscovery(d);
          break;
        case FaultKind::clientCrowd:
          idleClients_[static_cast<std::size_t>(d)]->setCount(begins ? static_cast<std::size_t>(fault.factor)
                                                                     : 0);
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

  // Whether all faults are over and each accepted message was delivered or the platform was notified of its
  // end. Looks at the trace at most once in kSampleInterval, and returns false in between.
  bool allMessagesEnded() {
    if (loop_.now() < nextEndCheckAt_) return false;
    nextEndCheckAt_ = loop_.now() + kSampleInterval;
    const Trace& trace = result_.trace;
    std::vector<bool> unfinished(trace.messages.size(), false);
    for (const TraceEvent& e : trace.events) {
      if (e.type == TraceEventType::accepted) unfinished[e.message] = true;
    }
    for (const TraceEvent& e : trace.events) {
      bool delivered = e.type == TraceEventType::responded && (e.status == 200 || e.status == 3);
      if (delivered || e.type == TraceEventType::notificationReceived) unfinished[e.message] = false;
    }
    for (const Fault& fault : experiment_.faults) {
      if (clock_.now() < fault.until + 2 * kSampleInterval) return false;
    }
    return std::find(unfinished.begin(), unfinished.end(), true) == unfinished.end();
  }

  void sample() {
    UsageSample usage{clock_.now(), {}};
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
      bool crashedBefore = process(d).crashed();
      process(d).running();
      if (process(d).crashed() && !crashedBefore) {
        result_.crashes.push_back("dispatcher " + std::to_string(d) + " ended unexpectedly at " +
                                  std::to_string(static_cast<int>(clock_.now())) + " ms");
        record(TraceEventType::dispatcherDown, d);
      }
      usage.dispatchers.push_back(process(d).usage());
    }
    result_.usage.push_back(std::move(usage));
    timers_.schedule(loop_.now() + kSampleInterval, [this] { sample(); });
  }

  void progress() {
    if (!options_.progress) return;
    options_.progress(clock_.now(), result_.trace.events.size());
    timers_.schedule(loop_.now() + kProgressInterval, [this] { progress(); });
  }

  void finish() {
    for (auto& dispatcher : processes_) {
      dispatcher->expectExit();
      dispatcher->signal(SIGCONT);
      dispatcher->signal(SIGTERM);
    }
    Millis deadline = steadyNow() + kStopTimeout;
    for (bool running = true; running && steadyNow() < deadline;) {
      runLoopOnce();
      running = false;
      for (auto& dispatcher : processes_) running = dispatcher->running() || running;
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
  std::vector<std::string> addresses_;   // by dispatcher, where it listens
  std::vector<std::string> knownLists_;  // by dispatcher, the endpoint list that it starts from
  std::vector<std::unique_ptr<DispatcherProcess>> processes_;
  std::vector<std::unique_ptr<IdleClients>> idleClients_;  // by dispatcher
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
  EmulatedServers servers(loop, timers, clock, experiment, seed ^ 0x2545f491u, endpointModel, trace);
  servers.acceptUnknownMessages();
  for (int d = 0; d < experiment.fleet.dispatchers; ++d) {
    std::string dispatcherFolder = folder + "/n" + std::to_string(d);
    std::filesystem::create_directories(dispatcherFolder + "/state");
    std::string listen = freeAddress(d);
    std::string state = std::filesystem::absolute(dispatcherFolder + "/state").string();
    std::ofstream(dispatcherFolder + "/config.json") << configurationOf(
        experiment, d, listen, servers.discoveryAddress(d), state, servers.endpointList(d));
    std::printf("dispatcher %d: start it with 'serve --config %s/config.json'; it then listens at %s\n", d,
                dispatcherFolder.c_str(), listen.c_str());
  }
  std::fflush(stdout);
  for (const Fault& fault : experiment.faults) {
    timers.schedule(clock.epoch + fault.from, [&servers, &fault] { servers.applyFault(fault, true); });
    timers.schedule(clock.epoch + fault.until, [&servers, &fault] { servers.applyFault(fault, false); });
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
