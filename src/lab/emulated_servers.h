#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/endpoint_model.h"
#include "lab/experiment.h"
#include "lab/http_server.h"
#include "lab/timer_queue.h"
#include "lab/trace.h"
#include "policy/endpoint_state.h"

namespace stonewing::lab {

// The partners' endpoints and the platform on loopback: each dispatcher reaches them at addresses of its own,
// 127.0.<dispatcher + 1>.<room + 1>, so that it is known who calls.
class World : public Server::Owner {
 public:
  World(EventLoop& loop, Agenda& agenda, const Clock& clock, const Plan& plan, Town& town, Trace& trace);
  ~World() override;

  std::string discovery(int dispatcher) const;
  // The list that a dispatcher starts from, in discovery's form.
  std::string known(int dispatcher) const;
  // A trouble among endpoints or in discovery begins or ends; those of dispatchers are not ours.
  void strike(const TroublePlan& trouble, bool begins);
  // Messages that the platform is told of, with the result (1 failed, 2 shed) and the time to come back.
  std::function<void(std::uint32_t callback, int result, Millis wait)> onNotice;
  static std::string refOf(std::uint32_t callback);
  // Takes any message by a name of ours as one of the first type: a load in another process draws its own.
  void trustNames() { trustsNames_ = true; }

 private:
  struct Place {
    int dispatcher{};
    int endpoint{-1};  // the platform where negative
  };
  struct Entry {
    std::uint32_t endpoint{};
    EndpointState phase{EndpointState::ready};
    std::int64_t version{1};
  };
  struct Watch {
    Served* served{};
    std::int64_t since{};
    std::uint64_t serial{};
  };
  struct Out {
    Served* served{};
    std::vector<std::uint32_t> callbacks;
    std::vector<std::string> refs;
    bool batch{false};
    bool closed{false};
    std::uint16_t dispatcher{};
    std::uint32_t endpoint{};
  };

  // No value: nobody handed in anything by that name.
  std::optional<std::uint32_t> callbackOf(std::string_view ref);
  bool opened(Server&, Served&) override;
  void asked(Server&, Served&, Request) override;
  void closed(Server&, Served&) override;
  std::string reportOf(std::uint32_t endpoint) const;
  void called(const Place& place, Served& served, const Request& request);
  void arrives(std::uint32_t call);
  void reply(const Reply& reply);
  void write(std::uint32_t call, const Reply& reply);
  void next(std::uint32_t endpoint);
  void table(std::uint32_t endpoint);
  void catalog(const Place& place, Served& served, const Request& request);
  void answerWatch(int dispatcher, std::int64_t since, Served& served);
  void publish(std::uint32_t endpoint, EndpointState phase);
  void reports(Served& served, const Request& request);
  std::string entryText(int dispatcher, const Entry& entry) const;
  Millis oneWay(const Place& place) const;

  EventLoop& loop_;
  Agenda& agenda_;
  const Clock& clock_;
  const Plan& plan_;
  Town& town_;
  Trace& trace_;
  std::map<const Server*, Place> places_;
  std::vector<std::vector<std::unique_ptr<Server>>> endpoints_;  // by endpoint, then dispatcher
  std::vector<std::unique_ptr<Server>> platform_;                // by dispatcher
  std::map<const Served*, std::uint32_t> callOf_;
  std::map<std::uint32_t, Out> out_;
  std::map<std::uint32_t, Millis> townAt_;
  std::vector<Entry> entries_;
  std::int64_t version_{1};
  std::vector<std::vector<EndpointState>> told_;  // by dispatcher, then endpoint
  std::map<int, Watch> watches_;                  // by dispatcher
  std::uint64_t serial_{0};
  std::uint32_t nextCall_{1};
  Millis listLate_{0};
  Millis listSilentUntil_{0};
  bool trustsNames_{false};
};

}  // namespace stonewing::lab
