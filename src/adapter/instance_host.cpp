#include "adapter/instance_host.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>
#include <variant>

#include "adapter/wire_reader.h"
#include "base/errors.h"
#include "settings/settings_reader.h"

namespace stonewing {
namespace {

// The names that the settings give to the fields of a load report that the policy reads.
constexpr const char* kRateLimitField = "x1";
constexpr const char* kRemainingShareField = "x0";

std::optional<std::size_t> indexOf(const std::vector<std::string>& fields, const char* field) {
  auto found = std::find(fields.begin(), fields.end(), field);
  if (found == fields.end()) return std::nullopt;
  return static_cast<std::size_t>(found - fields.begin());
}

// The value at `index`; none if the report has no value there or the value is not finite.
std::optional<double> valueAt(const wire::LoadReportValues& values, std::optional<std::size_t> index) {
  if (!index || *index >= values.size() || !std::isfinite(values[*index])) return std::nullopt;
  return values[*index];
}

}  // namespace

template <class Step>
void InstanceHost::runGuarded(std::uint32_t number, Step step) {
  Instance& instance = instancesByNumber_.at(number);
  if (instance.hasFailed) return;
  try {
    step(*instance.policy);
  } catch (const std::exception& problem) {
    instance.hasFailed = true;
    reply_.writeFailure(number, problem.what());
  }
}

template <class Input>
void InstanceHost::apply(std::uint32_t number, Input input) {
  if (beginRound(number) != nullptr) runGuarded(number, input);
}

InstanceHost::Instance* InstanceHost::beginRound(std::uint32_t number) {
  auto found = instancesByNumber_.find(number);
  if (found == instancesByNumber_.end()) return nullptr;
  if (std::find(instancesInBatch_.begin(), instancesInBatch_.end(), number) == instancesInBatch_.end()) {
    instancesInBatch_.push_back(number);
    runGuarded(number, [this](DispatchPolicy& policy) { policy.beginRound(now_); });
  }
  return &found->second;
}

LoadReport InstanceHost::loadReportOf(const Instance& instance, const wire::LoadReportValues& values) {
  LoadReport report;
  if (auto rateLimit = valueAt(values, instance.rateLimitIndex)) report.rateLimit = *rateLimit;
  if (auto remaining = valueAt(values, instance.remainingShareIndex)) report.remainingShare = *remaining;
  return report;
}

void InstanceHost::handle(const wire::InstanceCreated& event) {
  Instance created;
  created.policy = std::make_unique<DispatchPolicy>(readDeploymentSettings(event.settings), event.seed);
  const auto fields = readNameTables(event.settings).loadReportFields;
  created.rateLimitIndex = indexOf(fields, kRateLimitField);
  created.remainingShareIndex = indexOf(fields, kRemainingShareField);
  instancesByNumber_.insert_or_assign(event.instance, std::move(created));
  std::erase(instancesInBatch_, event.instance);
  beginRound(event.instance);
}

void InstanceHost::handle(const wire::InstanceStopped& event) {
  instancesByNumber_.erase(event.instance);
  std::erase(instancesInBatch_, event.instance);
}

void InstanceHost::handle(const wire::TimerFired& event) {
  apply(event.instance, [](DispatchPolicy& policy) { policy.recordTimerFired(); });
}

void InstanceHost::handle(const wire::ClientDisconnected& event) {
  apply(event.instance, [&](DispatchPolicy& policy) { policy.cancelMessage(event.message); });
}

void InstanceHost::handle(const wire::ResponseStarted& event) {
  apply(event.instance,
        [&](DispatchPolicy& policy) { policy.recordResponseStarted(event.message, event.attempt); });
}

void InstanceHost::handle(const wire::PeerNote& event) { beginRound(event.instance); }

void InstanceHost::handle(const wire::MessageSubmitted& event) {
  apply(event.instance, [&](DispatchPolicy& policy) {
    policy.acceptMessage(event.message, event.trafficType, event.tenant, event.orderingKey, event.destination,
                         event.deadline);
  });
}

void InstanceHost::handle(const wire::AttemptCompleted& event) {
  const Instance* instance = beginRound(event.instance);
  if (instance == nullptr) return;
  const LoadReport report = loadReportOf(*instance, event.loadReport);
  runGuarded(event.instance, [&](DispatchPolicy& policy) {
    policy.recordAttemptOutcome(event.message, event.attempt, event.outcome, event.elapsed, event.isFinal,
                                event.retryAfter, report);
  });
}

void InstanceHost::handle(const wire::HealthCheckCompleted& event) {
  const Instance* instance = beginRound(event.instance);
  if (instance == nullptr) return;
  const LoadReport report = loadReportOf(*instance, event.loadReport);
  runGuarded(event.instance, [&](DispatchPolicy& policy) {
    policy.recordHealthCheckOutcome(event.endpoint, event.outcome, report);
  });
}

void InstanceHost::handle(const wire::EndpointListPage& event) { endpointLists_[event.page] = event.rows; }

void InstanceHost::handle(const wire::EndpointListShown& event) {
  const Instance* instance = beginRound(event.instance);
  if (event.form == wire::EndpointListForm::failed) return;
  if (event.page >= endpointLists_.size() || !endpointLists_[event.page]) {
    throw ProtocolError("endpoint list " + std::to_string(event.page) +
                        " is shown, but no record with its endpoints was received");
  }
  if (instance == nullptr) return;
  const bool isFullList = event.form != wire::EndpointListForm::changes;
  runGuarded(event.instance, [&](DispatchPolicy& policy) {
    policy.beginEndpointList();
    for (const wire::EndpointListRow& row : *endpointLists_[event.page]) {
      policy.addEndpoint(row.endpoint, row.destination, row.kind, row.zone, row.weight, row.state);
    }
    policy.commitEndpointList(isFullList);
  });
}

std::string InstanceHost::handleBatch(std::uint32_t batchNumber, std::uint32_t recordCount,
                                      double clockSeconds, std::string_view body) {
  now_ = wire::requireFinite(clockSeconds, "clock") * wire::kMillisPerSecond;
  instancesInBatch_.clear();
  wire::Reader reader(body);
  for (std::uint32_t record = 0; record < recordCount; ++record) {
    std::visit([this](const auto& event) { handle(event); }, reader.next());
  }
  if (!reader.isAtEnd()) throw ProtocolError("the batch body has more bytes than its records");
  for (std::uint32_t number : instancesInBatch_) {
    runGuarded(number, [&](DispatchPolicy& policy) {
      while (auto decision = policy.nextDecision()) reply_.write(number, *decision);
    });
  }
  return reply_.takeFrame(batchNumber);
}

}  // namespace stonewing
