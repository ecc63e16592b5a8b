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

constexpr Millis kReadyWithin = 20000;
constexpr Millis kSampleEvery = 500;
constexpr Millis kProgressEvery = 1000;
constexpr Millis kEndWithin = 4000;

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
    while (::read(fd_, &info, sizeof info) == sizeof info) seen = true;
  }
  bool seen{false};

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

class Day {
 public:
  Day(const Experiment& experiment, std::uint64_t seed, const RunChoices& choices)
      : experiment_(experiment),
        choices_(choices),
        interrupts_(loop_),
        arrivalModel_(experiment, seed, played_.trace),
        endpointModel_(experiment, seed ^ 0x5bd1e995u, played_.trace),
        world_(loop_, timers_, clock_, experiment, endpointModel_, played_.trace) {
    std::vector<std::string> addresses;
    bool hangs = std::any_of(experiment.faults.begin(), experiment.faults.end(),
                             [](const Fault& t) { return t.kind == FaultKind::diskHang; });
    for (int d = 0; d < experiment.fleet.dispatchers; ++d) {
      addresses.push_back(freeAddress(d));
      std::string folder = choices.folder + "/n" + std::to_string(d);
      processes_.push_back(
          std::make_unique<DispatcherProcess>(choices.binary, folder, hangs ? STONEWING_HANG : ""));
      std::filesystem::remove(folder + "/state/journal");
      processes_.back()->configure(
          configurationOf(experiment, d, addresses.back(), world_.discoveryAddress(d),
                          std::filesystem::absolute(folder + "/state").string(), world_.endpointList(d)));
    }
    loadGenerator_ = std::make_unique<LoadGenerator>(loop_, timers_, clock_, experiment, arrivalModel_,
                                                     played_.trace, addresses);
    world_.onNotification = [this](std::uint32_t callback, int result, Millis wait) {
      if (result == 2) loadGenerator_->recordShed(callback, wait);
    };
  }

  Played play() {
    clock_.epoch = steadyNow();
    int ready = 0;
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
      process(d).start();
      loadGenerator_->whenReady(d, [&ready] { ++ready; });
    }
    Millis by = steadyNow() + kReadyWithin;
    while (ready < experiment_.fleet.dispatchers && !interrupts_.seen) {
      turn();
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
    while (clock_.now() < end && !interrupts_.seen) {
      turn();
      if (loadGenerator_->done() && clock_.now() > experiment_.duration && allOver()) break;
    }
    played_.until = clock_.now();
    played_.interrupted = interrupts_.seen;
    finish();
    played_.maxLag = loadGenerator_->maxLag();
    return std::move(played_);
  }

 private:
  DispatcherProcess& process(int d) { return *processes_[static_cast<std::size_t>(d)]; }

  void turn() { timer_.runOnce(timers_); }

  void begin() {
    played_.trace.events.clear();
    clock_.epoch = steadyNow();
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) note(What::up, d);
    for (const Fault& t : experiment_.faults) {
      timers_.schedule(clock_.epoch + t.from, [this, &t] { strike(t, true); });
      timers_.schedule(clock_.epoch + t.until, [this, &t] { strike(t, false); });
    }
    sample();
    progress();
    loadGenerator_->start();
  }

  void note(What what, int d, int status = 0) {
    played_.trace.events.push_back({.at = clock_.now(),
                                    .what = what,
                                    .dispatcher = static_cast<std::uint16_t>(d),
                                    .status = static_cast<std::int16_t>(status)});
  }

  void restart(int d) {
    process(d).start();
    loadGenerator_->whenReady(d, [this, d] { note(What::up, d); });
  }

  void strike(const Fault& t, bool begins) {
    world_.applyFault(t, begins);
    std::vector<int> struck = t.dispatchers.empty() ? std::vector<int>{0} : t.dispatchers;
    for (int d : struck) {
      switch (t.kind) {
        case FaultKind::kill:
          process(d).expectExit();
          if (begins) process(d).signal(SIGKILL), note(What::down, d);
          if (!begins)
            timers_.schedule(loop_.now() + experiment_.fleet.restartDelay, [this, d] { restart(d); });
          break;
        case FaultKind::terminate:
          process(d).expectExit();
          if (begins) {
            process(d).signal(SIGTERM);
            note(What::down, d, 2);
            timers_.schedule(loop_.now() + 3700, [this, d] {
              process(d).signal(SIGKILL);
              note(What::down, d);
            });
          } else {
            Millis after = std::max(0.0, 3700 - (t.until - t.from));
            timers_.schedule(loop_.now() + after + experiment_.fleet.restartDelay, [this, d] { restart(d); });
          }
          break;
        case FaultKind::stop:
          process(d).signal(begins ? SIGSTOP : SIGCONT);
          note(begins ? What::down : What::up, d, 1);
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
  bool allOver() {
    if (loop_.now() < overCheckAt_) return false;
    overCheckAt_ = loop_.now() + kSampleEvery;
    const Trace& t = played_.trace;
    std::vector<bool> owed(t.callbacks.size(), false);
    for (const Event& e : t.events) {
      if (e.what == What::taken) owed[e.callback] = true;
    }
    for (const Event& e : t.events) {
      bool delivered = e.what == What::replied && (e.status == 200 || e.status == 3);
      if (delivered || e.what == What::noticed) owed[e.callback] = false;
    }
    for (const Fault& fault : experiment_.faults) {
      if (clock_.now() < fault.until + 2 * kSampleEvery) return false;
    }
    return std::find(owed.begin(), owed.end(), true) == owed.end();
  }

  void sample() {
    Sampled s{clock_.now(), {}};
    for (int d = 0; d < experiment_.fleet.dispatchers; ++d) {
      bool was = process(d).crashed();
      process(d).running();
      if (process(d).crashed() && !was) {
        played_.crashes.push_back("dispatcher " + std::to_string(d) + " ended by itself at " +
                                  std::to_string(static_cast<int>(clock_.now())) + " ms");
        note(What::down, d);
      }
      s.dispatchers.push_back(process(d).usage());
    }
    played_.usage.push_back(std::move(s));
    timers_.schedule(loop_.now() + kSampleEvery, [this] { sample(); });
  }

  void progress() {
    if (!choices_.progress) return;
    choices_.progress(clock_.now(), played_.trace.events.size());
    timers_.schedule(loop_.now() + kProgressEvery, [this] { progress(); });
  }

  void finish() {
    for (auto& p : processes_) {
      p->expectExit();
      p->signal(SIGCONT);
      p->signal(SIGTERM);
    }
    Millis by = steadyNow() + kEndWithin;
    for (bool running = true; running && steadyNow() < by;) {
      turn();
      running = false;
      for (auto& p : processes_) running = p->running() || running;
    }
  }

  const Experiment& experiment_;
  const RunChoices& choices_;
  EventLoop loop_;
  TimerQueue timers_;
  PreciseTimer timer_{loop_};
  ExperimentClock clock_{loop_};
  Interrupts interrupts_;
  Played played_;
  ArrivalModel arrivalModel_;
  EndpointModel endpointModel_;
  EmulatedServers world_;
  std::vector<std::unique_ptr<DispatcherProcess>> processes_;
  std::unique_ptr<LoadGenerator> loadGenerator_;
  Millis overCheckAt_{0};
};

}  // namespace

Played playSockets(const Experiment& experiment, std::uint64_t seed, const RunChoices& choices) {
  return Day(experiment, seed, choices).play();
}

void serveWorld(const Experiment& experiment, std::uint64_t seed, const std::string& folder) {
  EventLoop loop;
  TimerQueue timers;
  PreciseTimer timer(loop);
  ExperimentClock clock{loop, steadyNow()};
  Interrupts interrupts(loop);
  Trace trace;
  EndpointModel endpointModel(experiment, seed ^ 0x5bd1e995u, trace);
  EmulatedServers world(loop, timers, clock, experiment, endpointModel, trace);
  world.acceptUnknownMessages();
  for (int d = 0; d < experiment.fleet.dispatchers; ++d) {
    std::string own = folder + "/n" + std::to_string(d);
    std::filesystem::create_directories(own + "/state");
    std::string listen = freeAddress(d);
    std::string state = std::filesystem::absolute(own + "/state").string();
    std::ofstream(own + "/config.json")
        << configurationOf(experiment, d, listen, world.discoveryAddress(d), state, world.endpointList(d));
    std::printf("dispatcher %d: serve --config %s/config.json, then listens at %s\n", d, own.c_str(),
                listen.c_str());
  }
  std::fflush(stdout);
  for (const Fault& t : experiment.faults) {
    timers.schedule(clock.epoch + t.from, [&world, &t] { world.applyFault(t, true); });
    timers.schedule(clock.epoch + t.until, [&world, &t] { world.applyFault(t, false); });
  }
  while (!interrupts.seen) {
    timer.runOnce(timers);
  }
  save(trace, folder);
}

Played driveLoad(const Experiment& experiment, std::uint64_t seed,
                 const std::vector<std::string>& dispatchers,
                 const std::function<void(Millis, std::size_t)>& progress) {
  Played played;
  EventLoop loop;
  TimerQueue timers;
  PreciseTimer timer(loop);
  ExperimentClock clock{loop, steadyNow()};
  Interrupts interrupts(loop);
  ArrivalModel arrivalModel(experiment, seed, played.trace);
  LoadGenerator loadGenerator(loop, timers, clock, experiment, arrivalModel, played.trace, dispatchers);
  loadGenerator.start();
  Millis told = 0;
  while (!interrupts.seen && !loadGenerator.done() && clock.now() < experiment.end()) {
    timer.runOnce(timers);
    if (progress && clock.now() > told) {
      progress(clock.now(), played.trace.events.size());
      told = clock.now() + kProgressEvery;
    }
  }
  played.maxLag = loadGenerator.maxLag();
  played.interrupted = interrupts.seen;
  played.until = clock.now();
  return played;
}

}  // namespace stonewing::lab
