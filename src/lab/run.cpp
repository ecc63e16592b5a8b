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
  Day(const Plan& plan, std::uint64_t seed, const RunChoices& choices)
      : plan_(plan),
        choices_(choices),
        interrupts_(loop_),
        clients_(plan, seed, played_.trace),
        town_(plan, seed ^ 0x5bd1e995u, played_.trace),
        world_(loop_, agenda_, clock_, plan, town_, played_.trace) {
    std::vector<std::string> addresses;
    bool hangs = std::any_of(plan.troubles.begin(), plan.troubles.end(),
                             [](const TroublePlan& t) { return t.kind == TroubleKind::diskHang; });
    for (int d = 0; d < plan.fleet.dispatchers; ++d) {
      addresses.push_back(freeAddress(d));
      std::string folder = choices.folder + "/n" + std::to_string(d);
      processes_.push_back(std::make_unique<Process>(choices.binary, folder, hangs ? STONEWING_HANG : ""));
      std::filesystem::remove(folder + "/state/journal");
      processes_.back()->configure(configurationOf(plan, d, addresses.back(), world_.discovery(d),
                                                   std::filesystem::absolute(folder + "/state").string(),
                                                   world_.known(d)));
    }
    load_ = std::make_unique<Load>(loop_, agenda_, clock_, plan, clients_, played_.trace, addresses);
    world_.onNotice = [this](std::uint32_t callback, int result, Millis wait) {
      if (result == 2) load_->shed(callback, wait);
    };
  }

  Played play() {
    clock_.epoch = steadyNow();
    int ready = 0;
    for (int d = 0; d < plan_.fleet.dispatchers; ++d) {
      process(d).start();
      load_->whenReady(d, [&ready] { ++ready; });
    }
    Millis by = steadyNow() + kReadyWithin;
    while (ready < plan_.fleet.dispatchers && !interrupts_.seen) {
      turn();
      for (int d = 0; d < plan_.fleet.dispatchers; ++d) {
        if (!process(d).running())
          throw std::runtime_error("a dispatcher ended at its start; see " + process(d).folder() +
                                   "/log.txt");
      }
      if (loop_.now() > by)
        throw std::runtime_error("a dispatcher did not answer PING; see " + process(0).folder() + "/log.txt");
    }
    begin();
    Millis end = plan_.end();
    while (clock_.now() < end && !interrupts_.seen) {
      turn();
      if (load_->done() && clock_.now() > plan_.duration && allOver()) break;
    }
    played_.until = clock_.now();
    played_.interrupted = interrupts_.seen;
    finish();
    played_.worstLag = load_->worstLag();
    return std::move(played_);
  }

 private:
  Process& process(int d) { return *processes_[static_cast<std::size_t>(d)]; }

  void turn() { alarm_.turn(agenda_); }

  void begin() {
    played_.trace.events.clear();
    clock_.epoch = steadyNow();
    for (int d = 0; d < plan_.fleet.dispatchers; ++d) note(What::up, d);
    for (const TroublePlan& t : plan_.troubles) {
      agenda_.at(clock_.epoch + t.from, [this, &t] { strike(t, true); });
      agenda_.at(clock_.epoch + t.until, [this, &t] { strike(t, false); });
    }
    sample();
    progress();
    load_->start();
  }

  void note(What what, int d, int status = 0) {
    played_.trace.events.push_back({.at = clock_.now(),
                                    .what = what,
                                    .dispatcher = static_cast<std::uint16_t>(d),
                                    .status = static_cast<std::int16_t>(status)});
  }

  void restart(int d) {
    process(d).start();
    load_->whenReady(d, [this, d] { note(What::up, d); });
  }

  void strike(const TroublePlan& t, bool begins) {
    world_.strike(t, begins);
    std::vector<int> struck = t.dispatchers.empty() ? std::vector<int>{0} : t.dispatchers;
    for (int d : struck) {
      switch (t.kind) {
        case TroubleKind::kill:
          process(d).forgive();
          if (begins) process(d).signal(SIGKILL), note(What::down, d);
          if (!begins) agenda_.at(loop_.now() + plan_.fleet.restart, [this, d] { restart(d); });
          break;
        case TroubleKind::terminate:
          process(d).forgive();
          if (begins) {
            process(d).signal(SIGTERM);
            note(What::down, d, 2);
            agenda_.at(loop_.now() + 3700, [this, d] {
              process(d).signal(SIGKILL);
              note(What::down, d);
            });
          } else {
            Millis after = std::max(0.0, 3700 - (t.until - t.from));
            agenda_.at(loop_.now() + after + plan_.fleet.restart, [this, d] { restart(d); });
          }
          break;
        case TroubleKind::stop:
          process(d).signal(begins ? SIGSTOP : SIGCONT);
          note(begins ? What::down : What::up, d, 1);
          break;
        case TroubleKind::diskFull:
          process(d).limitFiles(begins);
          break;
        case TroubleKind::diskHang:
          process(d).hangFiles(begins);
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
    for (const TroublePlan& trouble : plan_.troubles) {
      if (clock_.now() < trouble.until + 2 * kSampleEvery) return false;
    }
    return std::find(owed.begin(), owed.end(), true) == owed.end();
  }

  void sample() {
    Sampled s{clock_.now(), {}};
    for (int d = 0; d < plan_.fleet.dispatchers; ++d) {
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
    agenda_.at(loop_.now() + kSampleEvery, [this] { sample(); });
  }

  void progress() {
    if (!choices_.progress) return;
    choices_.progress(clock_.now(), played_.trace.events.size());
    agenda_.at(loop_.now() + kProgressEvery, [this] { progress(); });
  }

  void finish() {
    for (auto& p : processes_) {
      p->forgive();
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

  const Plan& plan_;
  const RunChoices& choices_;
  EventLoop loop_;
  Agenda agenda_;
  Alarm alarm_{loop_};
  Clock clock_{loop_};
  Interrupts interrupts_;
  Played played_;
  Clients clients_;
  Town town_;
  World world_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::unique_ptr<Load> load_;
  Millis overCheckAt_{0};
};

}  // namespace

Played playSockets(const Plan& plan, std::uint64_t seed, const RunChoices& choices) {
  return Day(plan, seed, choices).play();
}

void serveWorld(const Plan& plan, std::uint64_t seed, const std::string& folder) {
  EventLoop loop;
  Agenda agenda;
  Alarm alarm(loop);
  Clock clock{loop, steadyNow()};
  Interrupts interrupts(loop);
  Trace trace;
  Town town(plan, seed ^ 0x5bd1e995u, trace);
  World world(loop, agenda, clock, plan, town, trace);
  world.trustNames();
  for (int d = 0; d < plan.fleet.dispatchers; ++d) {
    std::string own = folder + "/n" + std::to_string(d);
    std::filesystem::create_directories(own + "/state");
    std::string listen = freeAddress(d);
    std::string state = std::filesystem::absolute(own + "/state").string();
    std::ofstream(own + "/config.json")
        << configurationOf(plan, d, listen, world.discovery(d), state, world.known(d));
    std::printf("dispatcher %d: serve --config %s/config.json, then listens at %s\n", d, own.c_str(),
                listen.c_str());
  }
  std::fflush(stdout);
  for (const TroublePlan& t : plan.troubles) {
    agenda.at(clock.epoch + t.from, [&world, &t] { world.strike(t, true); });
    agenda.at(clock.epoch + t.until, [&world, &t] { world.strike(t, false); });
  }
  while (!interrupts.seen) {
    alarm.turn(agenda);
  }
  save(trace, folder);
}

Played driveLoad(const Plan& plan, std::uint64_t seed, const std::vector<std::string>& dispatchers,
                 const std::function<void(Millis, std::size_t)>& progress) {
  Played played;
  EventLoop loop;
  Agenda agenda;
  Alarm alarm(loop);
  Clock clock{loop, steadyNow()};
  Interrupts interrupts(loop);
  Clients clients(plan, seed, played.trace);
  Load load(loop, agenda, clock, plan, clients, played.trace, dispatchers);
  load.start();
  Millis told = 0;
  while (!interrupts.seen && !load.done() && clock.now() < plan.end()) {
    alarm.turn(agenda);
    if (progress && clock.now() > told) {
      progress(clock.now(), played.trace.events.size());
      told = clock.now() + kProgressEvery;
    }
  }
  played.worstLag = load.worstLag();
  played.interrupted = interrupts.seen;
  played.until = clock.now();
  return played;
}

}  // namespace stonewing::lab
