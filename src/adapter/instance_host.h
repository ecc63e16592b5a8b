#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapter/wire.h"
#include "policy/dispatch_policy.h"

namespace stonewing {

// Hosts the instances of one process: feeds them the events of a batch, then pulls their decisions.
class InstanceHost {
 public:
  // One batch: the records behind the header. Throws ProtocolError on what cannot be read.
  std::string batch(std::uint32_t number, std::uint32_t records, double clockSeconds, std::string_view body);

 private:
  struct Row {
    EndpointId endpoint{};
    KindId kind{};
    DestinationId destination{};
    ZoneId zone{};
    double weight{};
    EndpointState phase{};
  };
  struct Instance {
    std::unique_ptr<DispatchPolicy> policy;
    std::size_t limitPlace{};  // of "x1" among the reported values
    std::size_t leftPlace{};   // and of "x0"
    bool failed{false};
  };

  void record(wire::Reader& in, Millis now);
  Instance* touch(std::uint32_t who, Millis now);
  void create(std::uint32_t who, std::uint64_t seed, std::string_view facts, Millis now);
  void rows(wire::Reader& in);
  void view(wire::Reader& in, Millis now);
  static LoadReport report(wire::Reader& in, const Instance* instance);
  template <class Step>
  void guarded(std::uint32_t who, Step step);

  std::map<std::uint32_t, Instance> instances_;
  std::array<std::vector<Row>, 16> pages_;
  std::array<bool, 16> paged_{};
  std::vector<std::uint32_t> touched_;
  wire::Writer out_;
};

}  // namespace stonewing
