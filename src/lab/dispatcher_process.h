#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "lab/experiment.h"

namespace stonewing::lab {

// Resources that a dispatcher's process uses, from /proc, and the size of its state folder.
struct ResourceUsage {
  double cpuSeconds{0};
  double residentMegabytes{0};
  int descriptors{0};
  double diskKilobytes{0};
};

// A dispatcher as a child process that can be started and ended several times. Its folder stays after this
// object is destroyed; the process is killed then.
class DispatcherProcess {
 public:
  // folder: for this dispatcher alone, created if missing. The log goes to folder/log.txt.
  // preload: a library that LD_PRELOAD loads into the process; empty for none.
  DispatcherProcess(std::string binary, std::string folder, std::string preload = {});
  ~DispatcherProcess();
  DispatcherProcess(const DispatcherProcess&) = delete;
  DispatcherProcess& operator=(const DispatcherProcess&) = delete;

  // Writes the text to folder/config.json, from which start() configures the dispatcher.
  void configure(const std::string& text) const;
  void start();  // does nothing if the process runs; throws std::system_error if fork fails
  void signal(int number) const;
  // Emulates a full disk: while on, the kernel lets no file of the process grow past the journal's present
  // size.
  void limitFileSize(bool on) const;
  // While on, a write to the journal does not return. Needs the preloaded library stonewing_hang.
  void blockJournalWrites(bool on) const;
  bool running();  // also reaps the process if it has ended
  // Whether the process once ended with an exit code other than 0 or by a signal, without expectExit() since
  // its start.
  bool crashed() const { return crashed_; }
  // From now until the next start, an exit of the process does not count as a crash.
  void expectExit() { exitExpected_ = true; }
  ResourceUsage usage() const;
  const std::string& folder() const { return folder_; }

 private:
  std::string binary_;
  std::string folder_;
  std::string preload_;
  pid_t pid_{-1};
  bool exitExpected_{false};
  bool crashed_{false};
};

// The text of the configuration file of one dispatcher, in the JSON form that deploy/ and README.md describe.
// listen, discovery: addresses; state: absolute path of the state folder; endpointList: the list that the
// dispatcher starts from, as JSON.
std::string configurationOf(const Experiment& experiment, int dispatcher, const std::string& listen,
                            const std::string& discovery, const std::string& state,
                            const std::string& endpointList);

}  // namespace stonewing::lab
