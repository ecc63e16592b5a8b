#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "lab/experiment.h"

namespace stonewing::lab {

// What a dispatcher's process uses, as the kernel counts it.
struct ResourceUsage {
  double cpuSeconds{0};
  double residentMegabytes{0};
  int descriptors{0};
  double diskKilobytes{0};
};

// One real dispatcher as a process, started and ended at will; its folder stays.
class DispatcherProcess {
 public:
  // folder: its own, made where it is missing. Its log goes to folder/log.txt.
  // preload: a library loaded into it; empty for none.
  DispatcherProcess(std::string binary, std::string folder, std::string preload = {});
  ~DispatcherProcess();
  DispatcherProcess(const DispatcherProcess&) = delete;
  DispatcherProcess& operator=(const DispatcherProcess&) = delete;

  void configure(const std::string& text) const;
  void start();  // throws std::system_error
  void signal(int number) const;
  // No room in its folder any more: the kernel lets none of its files grow.
  void limitFileSize(bool on) const;
  // A write to its journal takes until this is lifted; needs the library that stands in for such a folder.
  void blockJournalWrites(bool on) const;
  bool running();  // also takes note of an end
  // Ended by itself, with neither a signal of ours nor the code 0.
  bool crashed() const { return crashed_; }
  void expectExit() { exitExpected_ = true; }
  ResourceUsage usage() const;
  const std::string& folder() const { return folder_; }

 private:
  std::string binary_;
  std::string folder_;
  std::string preload_;
  pid_t pid_{-1};
  bool exitExpected_{false};  // an end is
  bool crashed_{false};
};

// The configuration of one dispatcher, in the form that deploy and README state.
std::string configurationOf(const Experiment& experiment, int dispatcher, const std::string& listen,
                            const std::string& discovery, const std::string& state,
                            const std::string& endpointList);

}  // namespace stonewing::lab
