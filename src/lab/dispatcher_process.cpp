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

DispatcherProcess::DispatcherProcess(std::string binary, std::string folder, std::string preload)
    : binary_(std::move(binary)), folder_(std::move(folder)), preload_(std::move(preload)) {
  fs::create_directories(folder_ + "/state");
}

DispatcherProcess::~DispatcherProcess() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGCONT);
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void DispatcherProcess::configure(const std::string& text) const {
  std::ofstream out(folder_ + "/config.json", std::ios::binary);
  out << text;
}

void DispatcherProcess::start() {
  if (running()) return;
  exitExpected_ = false;
  std::string config = folder_ + "/config.json";
  std::string log = folder_ + "/log.txt";
  const char* arguments[] = {binary_.c_str(), "serve", "--config", config.c_str(), nullptr};
  pid_t parent = ::getpid();
  pid_t pid = ::fork();
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid == 0) {
    // The dispatcher must not outlive this program, even if the program is killed: the kernel then sends
    // SIGKILL. If the program ended before that was set, the child exits here. The process group of its own
    // keeps a Ctrl-C on the terminal, which is meant for this program, from the dispatcher.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::setpgid(0, 0);
    sigset_t emptySet;
    sigemptyset(&emptySet);
    ::sigprocmask(SIG_SETMASK, &emptySet, nullptr);
    int logFile = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (logFile >= 0) {
      ::dup2(logFile, 1);
      ::dup2(logFile, 2);
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

void DispatcherProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

void DispatcherProcess::limitFileSize(bool on) const {
  if (pid_ <= 0) return;
  std::error_code error;
  auto size = fs::file_size(folder_ + "/state/journal", error);
  rlimit limit{};
  ::prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = on && !error ? size : limit.rlim_max;
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

void DispatcherProcess::blockJournalWrites(bool on) const {
  std::string marker = folder_ + "/state/hang";
  if (on) {
    std::ofstream out(marker);
  } else {
    std::error_code ignored;
    fs::remove(marker, ignored);
  }
}

bool DispatcherProcess::running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  pid_ = -1;
  bool succeeded = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!succeeded && !exitExpected_) crashed_ = true;
  return false;
}

ResourceUsage DispatcherProcess::usage() const {
  ResourceUsage resources;
  if (pid_ <= 0) return resources;
  std::string proc = "/proc/" + std::to_string(pid_);
  std::ifstream stat(proc + "/stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int n = 0; n < 11; ++n) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  resources.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream statm(proc + "/statm");
  double total = 0, resident = 0;
  statm >> total >> resident;
  resources.residentMegabytes = resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  std::error_code error;
  for (auto entry = fs::directory_iterator(proc + "/fd", error); !error && entry != fs::directory_iterator();
       entry.increment(error)) {
    ++resources.descriptors;
  }
  for (auto entry = fs::directory_iterator(folder_ + "/state", error);
       !error && entry != fs::directory_iterator(); entry.increment(error)) {
    std::error_code sizeError;
    auto size = entry->file_size(sizeError);
    if (!sizeError) resources.diskKilobytes += static_cast<double>(size) / 1000;
  }
  return resources;
}

std::string configurationOf(const Experiment& experiment, int dispatcher, const std::string& listen,
                            const std::string& discovery, const std::string& state,
                            const std::string& endpointList) {
  constexpr double kMillisPerSecond = 1000;
  json types = json::array();
  for (const TrafficTypeSettings& type : experiment.types) {
    json row{{"name", type.name},
             {"aim-s", type.settings.latencyObjective / kMillisPerSecond},
             {"deadline-s", type.settings.deadlineAfter / kMillisPerSecond},
             {"importance", type.settings.priorityWeight},
             {"late-worth", type.settings.lateWeightShare},
             {"keep-order", type.settings.ordered}};
    row["effect"] = type.settings.idempotency == Idempotency::idempotent          ? "safe"
                    : type.settings.idempotency == Idempotency::idempotentWithKey ? "keyed"
                                                                                  : "unsafe";
    if (type.settings.idempotency == Idempotency::idempotentWithKey) {
      row["group"] = type.settings.deduplicationScope == DeduplicationScope::zone ? "zone" : "all";
      row["repeat-window-s"] = type.settings.deduplicationWindow / kMillisPerSecond;
    }
    types.push_back(row);
  }
  json tenants = json::array();
  for (int n = 0; n < experiment.load.tenants; ++n) {
    tenants.push_back(
        {{"name", "tenant-" + std::to_string(n)}, {"quota-per-s", experiment.load.quotaPerSecond}});
  }
  DeploymentSettings deployment = experiment.deploymentSettings(dispatcher);
  json settings{{"request-classes", types},
                {"orgs", tenants},
                {"over-share-worth", deployment.overQuotaWeightShare},
                {"kinds", {"partner"}},
                {"zones", experiment.environment.zones},
                {"zone", deployment.zone.value},
                {"replicas-of-me", deployment.dispatcherCount},
                {"me", deployment.dispatcherIndex},
                {"family-info",
                 {{"call-slots", deployment.maxConcurrentRequests},
                  {"decay", "linear"},
                  {"kind-apart", {false}},
                  {"per-call", {experiment.environment.maxBatchSize}}}},
                {"limits",
                 {{"open-cap", deployment.maxInFlight},
                  {"max-attempts", deployment.maxAttempts},
                  {"may-duplicate", deployment.mayHedge},
                  {"cancel", deployment.mayCancel},
                  {"probes", deployment.mayHealthCheck},
                  {"retry-after", deployment.mayAdviseRetryAfter},
                  {"max-retry-after-s", deployment.maxRetryAfter / kMillisPerSecond},
                  {"conn-idle-s", deployment.connectionIdleTimeout / kMillisPerSecond},
                  {"connect-timeout-s", experiment.fleet.connectTimeout / kMillisPerSecond}}},
                {"rules",
                 {{"cold-from", deployment.slowStartInitialShare},
                  {"cold-s", deployment.slowStartDuration / kMillisPerSecond},
                  {"fall-multiple", deployment.overloadThreshold},
                  {"fall-s", deployment.overloadWindow / kMillisPerSecond},
                  {"drain-grace-s", experiment.environment.drainGrace / kMillisPerSecond},
                  {"answer-slack-s", experiment.environment.answerSlack / kMillisPerSecond},
                  {"order-pause-s", deployment.orderingPause / kMillisPerSecond}}}};
  if (experiment.environment.reportsLoad) settings["report"] = {{"fields", {"x1"}}};
  char seed[20];
  std::snprintf(
      seed, sizeof seed, "%llx",
      static_cast<unsigned long long>(experiment.seed * 1000003 + static_cast<std::uint64_t>(dispatcher)));
  json file{{"name", "n" + std::to_string(dispatcher)},
            {"listen", listen},
            {"discovery", discovery},
            {"state", state},
            {"seed", seed},
            {"limits",
             {{"sockets", experiment.fleet.maxSockets},
              {"memory_mb", experiment.fleet.memoryMegabytes},
              {"disk_mb", experiment.fleet.diskMegabytes}}},
            {"known", json::parse(endpointList)},
            {"settings", settings}};
  if (!deployment.zoneFailover.priorities.empty()) {
    json priorities = json::array();
    for (const auto& zones : deployment.zoneFailover.priorities) {
      priorities.push_back(json::array());
      for (ZoneId zone : zones) priorities.back().push_back(experiment.environment.zones[zone.value]);
    }
    const ZoneFailoverSettings& failover = deployment.zoneFailover;
    file["rooms"] = {{"tiers", priorities},
                     {"spill",
                      {{"share", failover.spilloverShare},
                       {"slots", failover.spilloverRequestShare},
                       {"per_s", failover.spilloverPerSecond}}},
                     {"return",
                      {{"climb_s", failover.recoveryRampDuration / kMillisPerSecond},
                       {"from", failover.recoveryRampInitialShare}}}};
  }
  if (experiment.fleet.separateJournalWriter) file["journal"] = {{"writer", "aside"}};
  return file.dump(1);
}

}  // namespace stonewing::lab
