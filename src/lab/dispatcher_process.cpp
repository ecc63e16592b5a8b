#include "lab/dispatcher_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <system_error>

namespace stonewing::lab {

using nlohmann::json;
namespace fs = std::filesystem;

Process::Process(std::string binary, std::string folder, std::string preload)
    : binary_(std::move(binary)), folder_(std::move(folder)), preload_(std::move(preload)) {
  fs::create_directories(folder_ + "/state");
}

Process::~Process() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGCONT);
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Process::configure(const std::string& text) const {
  std::ofstream out(folder_ + "/config.json", std::ios::binary);
  out << text;
}

void Process::start() {
  if (running()) return;
  expected_ = false;
  std::string config = folder_ + "/config.json";
  std::string log = folder_ + "/log.txt";
  const char* arguments[] = {binary_.c_str(), "serve", "--config", config.c_str(), nullptr};
  pid_t parent = ::getpid();
  pid_t pid = ::fork();
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid == 0) {
    // Ended with us, whatever becomes of us, and not by a Ctrl-C that is meant for us.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::setpgid(0, 0);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (out >= 0) {
      ::dup2(out, 1);
      ::dup2(out, 2);
    }
    if (!preload_.empty()) {
      ::setenv("LD_PRELOAD", preload_.c_str(), 1);
      ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    ::execv(arguments[0], const_cast<char**>(arguments));
    ::_exit(127);
  }
  pid_ = pid;
}

void Process::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

void Process::limitFiles(bool on) const {
  if (pid_ <= 0) return;
  std::error_code none;
  auto size = fs::file_size(folder_ + "/state/journal", none);
  rlimit limit{};
  ::prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = on && !none ? size : limit.rlim_max;
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

void Process::hangFiles(bool on) const {
  std::string mark = folder_ + "/state/hang";
  if (on) {
    std::ofstream out(mark);
  } else {
    std::error_code none;
    fs::remove(mark, none);
  }
}

bool Process::running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  pid_ = -1;
  bool good = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!good && !expected_) crashed_ = true;
  return false;
}

Usage Process::usage() const {
  Usage u;
  if (pid_ <= 0) return u;
  std::string proc = "/proc/" + std::to_string(pid_);
  std::ifstream stat(proc + "/stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int n = 0; n < 11; ++n) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  u.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream statm(proc + "/statm");
  double total = 0, resident = 0;
  statm >> total >> resident;
  u.residentMegabytes = resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  std::error_code none;
  for (auto at = fs::directory_iterator(proc + "/fd", none); !none && at != fs::directory_iterator();
       at.increment(none)) {
    ++u.descriptors;
  }
  for (auto at = fs::directory_iterator(folder_ + "/state", none); !none && at != fs::directory_iterator();
       at.increment(none)) {
    std::error_code lost;
    auto size = at->file_size(lost);
    if (!lost) u.diskKilobytes += static_cast<double>(size) / 1000;
  }
  return u;
}

std::string configurationOf(const Plan& plan, int dispatcher, const std::string& listen,
                            const std::string& discovery, const std::string& state,
                            const std::string& known) {
  constexpr double kSecond = 1000;
  json types = json::array();
  for (const TypePlan& t : plan.types) {
    json row{{"name", t.name},
             {"aim-s", t.terms.latencyObjective / kSecond},
             {"deadline-s", t.terms.deadlineAfter / kSecond},
             {"importance", t.terms.priorityWeight},
             {"late-worth", t.terms.lateWeightShare},
             {"keep-order", t.terms.ordered}};
    row["effect"] = t.terms.idempotency == Idempotency::idempotent          ? "safe"
                    : t.terms.idempotency == Idempotency::idempotentWithKey ? "keyed"
                                                                            : "unsafe";
    if (t.terms.idempotency == Idempotency::idempotentWithKey) {
      row["group"] = t.terms.deduplicationScope == DeduplicationScope::zone ? "zone" : "all";
      row["repeat-window-s"] = t.terms.deduplicationWindow / kSecond;
    }
    types.push_back(row);
  }
  json tenants = json::array();
  for (int n = 0; n < plan.load.tenants; ++n) {
    tenants.push_back({{"name", "tenant-" + std::to_string(n)}, {"quota-per-s", plan.load.quotaPerSecond}});
  }
  DeploymentSettings terms = plan.terms(dispatcher);
  json settings{{"request-classes", types},
                {"orgs", tenants},
                {"over-share-worth", terms.overQuotaWeightShare},
                {"kinds", {"partner"}},
                {"zones", plan.world.rooms},
                {"zone", terms.zone.value},
                {"replicas-of-me", terms.dispatcherCount},
                {"me", terms.dispatcherIndex},
                {"family-info",
                 {{"call-slots", terms.maxConcurrentRequests},
                  {"decay", "linear"},
                  {"kind-apart", {false}},
                  {"per-call", {plan.world.perCall}}}},
                {"limits",
                 {{"open-cap", terms.maxInFlight},
                  {"max-attempts", terms.maxAttempts},
                  {"may-duplicate", terms.mayHedge},
                  {"cancel", terms.mayCancel},
                  {"probes", terms.mayHealthCheck},
                  {"retry-after", terms.mayAdviseRetryAfter},
                  {"max-retry-after-s", terms.maxRetryAfter / kSecond},
                  {"conn-idle-s", terms.connectionIdleTimeout / kSecond},
                  {"connect-timeout-s", plan.fleet.connectWithin / kSecond}}},
                {"rules",
                 {{"cold-from", terms.slowStartInitialShare},
                  {"cold-s", terms.slowStartDuration / kSecond},
                  {"fall-multiple", terms.overloadThreshold},
                  {"fall-s", terms.overloadWindow / kSecond},
                  {"drain-grace-s", plan.world.drainGrace / kSecond},
                  {"answer-slack-s", plan.world.answerSlack / kSecond},
                  {"order-pause-s", terms.orderingPause / kSecond}}}};
  if (plan.world.reports) settings["report"] = {{"fields", {"x1"}}};
  char seed[20];
  std::snprintf(
      seed, sizeof seed, "%llx",
      static_cast<unsigned long long>(plan.seed * 1000003 + static_cast<std::uint64_t>(dispatcher)));
  json file{{"name", "n" + std::to_string(dispatcher)},
            {"listen", listen},
            {"discovery", discovery},
            {"state", state},
            {"seed", seed},
            {"limits",
             {{"sockets", plan.fleet.sockets},
              {"memory_mb", plan.fleet.memoryMegabytes},
              {"disk_mb", plan.fleet.diskMegabytes}}},
            {"known", json::parse(known)},
            {"settings", settings}};
  if (!terms.zoneFailover.priorities.empty()) {
    json tiers = json::array();
    for (const auto& tier : terms.zoneFailover.priorities) {
      tiers.push_back(json::array());
      for (ZoneId room : tier) tiers.back().push_back(plan.world.rooms[room.value]);
    }
    const ZoneFailoverSettings& r = terms.zoneFailover;
    file["rooms"] = {
        {"tiers", tiers},
        {"spill",
         {{"share", r.spilloverShare}, {"slots", r.spilloverRequestShare}, {"per_s", r.spilloverPerSecond}}},
        {"return", {{"climb_s", r.recoveryRampDuration / kSecond}, {"from", r.recoveryRampInitialShare}}}};
  }
  if (plan.fleet.writesAside) file["journal"] = {{"writer", "aside"}};
  return file.dump(1);
}

}  // namespace stonewing::lab
