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

// Hosts the policies of all instances of one simulator process: feeds each the events of a batch, then pulls
// its decisions. Instances share nothing but the numbered endpoint lists. Single-threaded.
class InstanceHost {
 public:
  // Handles the records behind a batch's header and returns the reply. Throws ParseError or ProtocolError
  // where the batch cannot be read. An exception of one instance's policy ends that instance alone and is
  // written as its failure.
  std::string handleBatch(std::uint32_t batchNumber, std::uint32_t recordCount, double clockSeconds,
                          std::string_view body);

 private:
  struct Instance {
    std::unique_ptr<DispatchPolicy> policy;
    std::optional<std::size_t> rateLimitPlace;  // of the reported rate limit among a load report's values
    std::optional<std::size_t> remainingSharePlace;  // and of the share of it that remains
    bool hasFailed{false};
  };

  // One handler for each type of event.
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

  // The instance of that number, its round of this batch begun; null where there is none.
  Instance* beginRound(std::uint32_t number);
  // Begins the instance's round and runs the input on its policy, unless it is unknown or has failed.
  template <class Input>
  void apply(std::uint32_t number, Input input);
  // Runs a step on the policy; what it throws becomes the instance's failure.
  template <class Step>
  void runGuarded(std::uint32_t number, Step step);
  static LoadReport loadReportOf(const Instance& instance, const wire::LoadReportValues& values);

  std::map<std::uint32_t, Instance> instancesByNumber_;
  std::array<std::optional<std::vector<wire::EndpointListRow>>, wire::kEndpointListPages> endpointLists_;
  std::vector<std::uint32_t> instancesInBatch_;  // in the order of their first event; replies keep that order
  Millis now_{};                                 // the simulator's clock at this batch
  wire::Writer reply_;
};

}  // namespace stonewing
