#include "adapter/instance_host.h"

#include <algorithm>
#include <cmath>

#include "settings/settings_reader.h"

namespace stonewing {
namespace {

constexpr double kMillisPerSecond = 1000.0;
constexpr std::size_t kNowhere = static_cast<std::size_t>(-1);

EndpointState phaseOf(std::uint8_t code) {
  switch (code) {
    case 0:
      return EndpointState::removed;
    case 1:
      return EndpointState::ready;
    case 2:
      return EndpointState::draining;
  }
  throw ProtocolError("unknown phase " + std::to_string(code));
}

AttemptOutcome endingOf(std::uint16_t code) {
  switch (code) {
    case 10:
      return AttemptOutcome::completed;
    case 20:
      return AttemptOutcome::error;
    case 30:
      return AttemptOutcome::rejected;
    case 40:
      return AttemptOutcome::timeout;
    case 50:
      return AttemptOutcome::connectFailed;
    case 60:
      return AttemptOutcome::reset;
    case 70:
      return AttemptOutcome::cancelled;
    case 80:
      return AttemptOutcome::notSent;
  }
  throw ProtocolError("unknown completion code " + std::to_string(code));
}

double finite(double value, const char* field) {
  if (!std::isfinite(value)) throw ProtocolError(std::string("field ") + field + " is not a finite number");
  return value;
}

}  // namespace

template <class Step>
void InstanceHost::guarded(std::uint32_t who, Step step) {
  Instance& instance = instances_.at(who);
  if (instance.failed) return;
  try {
    step(*instance.policy);
  } catch (const std::exception& problem) {
    instance.failed = true;
    out_.failure(who, problem.what());
  }
}

InstanceHost::Instance* InstanceHost::touch(std::uint32_t who, Millis now) {
  auto at = instances_.find(who);
  if (at == instances_.end()) return nullptr;
  if (std::find(touched_.begin(), touched_.end(), who) == touched_.end()) {
    touched_.push_back(who);
    guarded(who, [&](DispatchPolicy& rules) { rules.beginRound(now); });
  }
  return &at->second;
}

void InstanceHost::create(std::uint32_t who, std::uint64_t seed, std::string_view facts, Millis now) {
  Instance fresh;
  fresh.policy = std::make_unique<DispatchPolicy>(readDeploymentSettings(facts), seed);
  const auto reported = readNameTables(facts).loadReportFields;
  auto placeOf = [&](const char* field) {
    auto at = std::find(reported.begin(), reported.end(), field);
    return at == reported.end() ? kNowhere : static_cast<std::size_t>(at - reported.begin());
  };
  fresh.limitPlace = placeOf("x1");
  fresh.leftPlace = placeOf("x0");
  instances_.insert_or_assign(who, std::move(fresh));
  std::erase(touched_, who);
  touch(who, now);
}

void InstanceHost::rows(wire::Reader& in) {
  auto page = in.get<std::uint8_t>("page");
  if (page >= pages_.size()) throw ProtocolError("list number " + std::to_string(page) + " is above 15");
  auto n = in.get<std::uint32_t>("records");
  std::vector<Row> list;
  for (std::uint32_t i = 0; i < n; ++i) {
    Row row;
    row.endpoint = in.endpoint();
    row.kind = KindId{in.get<std::uint8_t>("generation-hw")};
    row.destination = DestinationId{in.get<std::uint16_t>("dest")};
    row.zone = ZoneId{in.get<std::uint8_t>("rack-zone")};
    in.get<double>("boot-time-s");
    row.weight = finite(in.get<float>("share"), "share");
    row.phase = phaseOf(in.get<std::uint8_t>("phase"));
    list.push_back(row);
  }
  pages_[page] = std::move(list);
  paged_[page] = true;
}

void InstanceHost::view(wire::Reader& in, Millis now) {
  auto who = in.get<std::uint32_t>("who");
  in.get<std::uint32_t>("epoch");
  auto form = in.get<std::uint8_t>("form");
  auto page = in.get<std::uint8_t>("page");
  if (form > 3) throw ProtocolError("unknown form of list " + std::to_string(form));
  Instance* instance = touch(who, now);
  if (form == 2) return;
  if (page >= pages_.size() || !paged_[page]) {
    throw ProtocolError("list " + std::to_string(page) + " was never sent");
  }
  if (instance == nullptr) return;
  guarded(who, [&](DispatchPolicy& rules) {
    rules.beginEndpointList();
    for (const Row& r : pages_[page]) {
      rules.addEndpoint(r.endpoint, r.destination, r.kind, r.zone, r.weight, r.phase);
    }
    rules.commitEndpointList(form != 3);
  });
}

LoadReport InstanceHost::report(wire::Reader& in, const Instance* instance) {
  LoadReport told;
  auto n = in.get<std::uint8_t>("load");
  for (std::size_t place = 0; place < n; ++place) {
    double value = in.get<float>("load");
    if (instance == nullptr || !std::isfinite(value)) continue;
    if (place == instance->limitPlace) told.rateLimit = value;
    if (place == instance->leftPlace) told.remainingShare = value;
  }
  return told;
}

void InstanceHost::record(wire::Reader& in, Millis now) {
  auto code = in.get<std::uint16_t>("code");
  if (code == wire::kSnapshotRows) return rows(in);
  if (code == wire::kView) return view(in, now);
  if (code < wire::kAlarm || code > wire::kSnapshotRows) {
    throw ProtocolError("unknown record code " + std::to_string(code));
  }
  auto who = in.get<std::uint32_t>("who");
  if (code == wire::kCreate) {
    auto seed = in.get<std::uint64_t>("init-seed");
    auto n = in.get<std::uint32_t>("facts");
    return create(who, seed, in.text(n, "facts"), now);
  }
  if (code == wire::kStop) {
    instances_.erase(who);
    std::erase(touched_, who);
    return;
  }
  Instance* instance = touch(who, now);
  auto tell = [&](auto step) {
    if (instance != nullptr) guarded(who, step);
  };
  switch (code) {
    case wire::kAlarm:
      in.get<std::uint64_t>("label");
      tell([](DispatchPolicy& rules) { rules.recordTimerFired(); });
      break;
    case wire::kVanished: {
      MessageId id{in.get<std::uint32_t>("rid")};
      tell([&](DispatchPolicy& rules) { rules.cancelMessage(id); });
      break;
    }
    case wire::kUnderWay: {
      MessageId id{in.get<std::uint32_t>("rid")};
      int launch = in.get<std::uint8_t>("round-no");
      in.endpoint();
      in.get<double>("spent-s");
      tell([&](DispatchPolicy& rules) { rules.recordResponseStarted(id, launch); });
      break;
    }
    case wire::kMail: {
      in.get<std::uint32_t>("src");
      in.text(in.get<std::uint16_t>("payload"), "payload");
      break;
    }
    case wire::kDemand: {
      MessageId id{in.get<std::uint32_t>("rid")};
      TrafficTypeId type{in.get<std::uint16_t>("lane")};
      TenantId tenant{in.get<std::uint16_t>("customer")};
      OrderingKey key{in.get<std::uint64_t>("entity")};
      Millis outerLimit = finite(in.get<double>("client-deadline-s"), "client-deadline-s") * kMillisPerSecond;
      in.get<double>("expected-s");
      double destination = finite(in.get<float>("dest"), "dest");
      in.get<std::uint8_t>("bits");
      if (destination < 0 || destination > 0xffff) throw ProtocolError("dest is out of range");
      DestinationId to{static_cast<std::uint16_t>(destination)};
      tell([&](DispatchPolicy& rules) { rules.acceptMessage(id, type, tenant, key, to, outerLimit); });
      break;
    }
    case wire::kCompleted: {
      MessageId id{in.get<std::uint32_t>("rid")};
      int launch = in.get<std::uint8_t>("round-no");
      in.endpoint();
      AttemptOutcome ending = endingOf(in.get<std::uint16_t>("ending"));
      Millis spent = finite(in.get<double>("spent-s"), "spent-s") * kMillisPerSecond;
      bool over = in.get<std::uint8_t>("terminal") != 0;
      Millis wait = in.get<std::uint32_t>("hold-ms");
      if (ending != AttemptOutcome::rejected) wait = 0;  // with others it is no time
      LoadReport told = report(in, instance);
      tell([&](DispatchPolicy& rules) {
        rules.recordAttemptOutcome(id, launch, ending, spent, over, wait, told);
      });
      break;
    }
    case wire::kProbeResult: {
      EndpointId endpoint = in.endpoint();
      AttemptOutcome ending = endingOf(in.get<std::uint16_t>("ending"));
      in.get<double>("spent-s");
      LoadReport told = report(in, instance);
      tell([&](DispatchPolicy& rules) { rules.recordHealthCheckOutcome(endpoint, ending, told); });
      break;
    }
  }
}

std::string InstanceHost::batch(std::uint32_t number, std::uint32_t records, double clockSeconds,
                                std::string_view body) {
  Millis now = finite(clockSeconds, "clock") * kMillisPerSecond;
  touched_.clear();
  wire::Reader in(body);
  for (std::uint32_t i = 0; i < records; ++i) record(in, now);
  if (!in.atEnd()) throw ProtocolError("bytes are left over behind the last record");
  for (std::uint32_t who : touched_) {
    guarded(who, [&](DispatchPolicy& rules) {
      while (auto decision = rules.nextDecision()) out_.write(who, *decision);
    });
  }
  return out_.frame(number);
}

}  // namespace stonewing
