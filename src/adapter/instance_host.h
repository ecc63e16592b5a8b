#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapter/wire_events.h"
#include "adapter/wire_writer.h"
#include "policy/dispatch_policy.h"

namespace stonewing {

// Hosts the policies of all instances of one simulator process: passes each policy the events of a batch,
// then collects its decisions. Instances share only the numbered endpoint lists. Single-threaded.
class InstanceHost {
 public:
  // Handles the records that follow a batch's header and returns the reply. Throws ParseError or
  // ProtocolError if the batch cannot be read. An exception of one instance's policy ends only that instance
  // and is reported in the reply as its failure.
  std::string handleBatch(std::uint32_t batchNumber, std::uint32_t recordCount, double clockSeconds,
                          std::string_view body);

 private:
  struct Instance {
    std::unique_ptr<DispatchPolicy> policy;
    std::optional<std::size_t> rateLimitIndex;       // of the rate limit among a load report's values
    std::optional<std::size_t> remainingShareIndex;  // of the share of it that remains
    bool hasFailed{false};
  };

  // Each handles one type of event.
  void handle(const wire::InstanceCreated& event);
  void handle(const wire::InstanceStopped& event);
  void handle(const wire::TimerFired& event);
  void handle(const wire::ClientDisconnected& event);
  void handle(const wire::ResponseStarted& event);
  void handle(const wire::PeerNote& event);
  void handle(const wire::MessageSubmitted& event);
  void handle(const wire::AttemptCompleted& event);
  void handle(const wire::HealthCheckCompleted& event);
  void handle(const wire::EndpointListPage& event);
  void handle(const wire::EndpointListShown& event);

  // Begins the instance's round, if this batch has not begun it yet, and returns the instance; null if there
  // is none with that number.
  Instance* beginRound(std::uint32_t number);
  // Begins the instance's round and runs `input` on its policy, unless the instance is unknown or has failed.
  template <class Input>
  void apply(std::uint32_t number, Input input);
  // Runs `step` on the policy. An exception of it is reported as the instance's failure.
  template <class Step>
  void runGuarded(std::uint32_t number, Step step);
  static LoadReport loadReportOf(const Instance& instance, const wire::LoadReportValues& values);

  std::map<std::uint32_t, Instance> instancesByNumber_;
  std::array<std::optional<std::vector<wire::EndpointListRow>>, wire::kEndpointListPages> endpointLists_;
  std::vector<std::uint32_t> instancesInBatch_;  // in the order of their first event and of the reply
  Millis now_{};                                 // the simulator's time of this batch
  wire::Writer reply_;
};

}  // namespace stonewing
