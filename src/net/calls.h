#pragma once

#include <list>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/facts.h"
#include "net/book.h"
#include "net/catalog.h"
#include "net/http.h"
#include "rules.h"

namespace stonewing::net {

// What a load report tells of the limit; one that cannot be read tells nothing.
LoadReport reportIn(std::string_view report, const std::vector<std::string>& fields);

// Carries attempts and probes to endpoints over HTTP/1.1 and tells the rules how each ended.
class Calls : public HttpLink::Owner {
 public:
  // mostProbes: of them at once, so that with the concurrent requests they stay within mostLinks, connections
  // to endpoints.
  Calls(Loop& loop, DispatchPolicy& rules, MessageStore& book, const Catalog& catalog,
        const DeploymentSettings& terms, const NameTables& facts, std::size_t mostLinks,
        std::size_t mostProbes);

  // Attempts of one pass that belong to one call go out together: noted with flush, sent once the book has
  // kept them.
  void launch(const Decision& decision);
  void withdraw(const Decision& decision);
  void probe(EndpointId endpoint);
  void closeIdle(EndpointId endpoint);
  void flush();
  void send();

  void tick();  // time-outs, and connections that never come up
  Millis due() const;
  bool idle() const;

 private:
  struct Member {
    MessageId message{};
    int attempt{};
    Millis due{};
    std::string ref;
    bool told{false};  // its end was told; the call may go on for others
    bool off{false};   // called off, and told once the whole call can be
  };
  struct Line : HttpLink {
    using HttpLink::HttpLink;
    EndpointId endpoint{};
    sockaddr_in address{};
    std::vector<Member> members;
    bool probing{false};
    bool failed{false};    // could not even begin
    bool withheld{false};  // that is for want of something of our own, which tells nothing of the endpoint
    Millis wholeBy{-1};    // an answer that has begun is to be whole by then; -1 while none has
    Millis sent{0};
    Millis usedAt{0};
    Millis due{-1};     // its place in dues_
    Millis idleAt{-1};  // its place in idle_
    std::list<std::unique_ptr<Line>>::iterator self{};
  };

  bool mayBegin(HttpLink& link) override;
  bool mayGoOn(HttpLink& link) override;
  void begun(HttpLink& link) override;
  void answered(HttpLink& link) override;
  void broke(HttpLink& link) override;
  std::string_view nameAt(EndpointId endpoint) const;
  Line& lineTo(EndpointId endpoint);
  void write(Line& line);
  bool stillWanted(Line& line);
  static void withhold(Line& line);
  void letGo(Line& line, AttemptOutcome ending);
  void probeEnded(Line& line, AttemptOutcome ending, LoadReport report = {});
  void tell(Line& line, Member& member, AttemptOutcome ending, bool over, Millis wait);
  void tellAll(Line& line, AttemptOutcome ending, bool over = false, Millis wait = 0);
  void readMany(Line& line, Millis wait);
  bool calledOff(Line& line);
  bool keepsCall(const Line& line, const Member& member) const;
  Millis timeUp(const Member& member) const;
  void release(Line& line);
  // A line has changed: when it is to be looked at, and whether it stands idle, is noted anew.
  void settle(Line& line);
  Millis dueOf(const Line& line) const;
  void unsettle(Line& line);
  void look(Line& line);
  AttemptOutcome unanswered(const Line& line, AttemptOutcome otherwise) const;
  Millis connectBy(const Line& line) const;

  Loop& loop_;
  DispatchPolicy& rules_;
  MessageStore& book_;
  const Catalog& catalog_;
  const NameTables& facts_;
  Millis connectWithin_;
  bool mayCopy_;
  Millis idleMost() const;

  Millis idleMost_{1e15};
  std::size_t mostLinks_;
  std::size_t mostProbes_;
  std::size_t probesOut_{0};
  std::list<std::unique_ptr<Line>> lines_;
  std::set<std::pair<Millis, Line*>> dues_;
  std::set<std::tuple<EndpointId, Millis, Line*>> idle_;  // by endpoint, then when last used
  std::set<std::pair<Millis, Line*>> oldest_;             // the idle ones by when last used
  std::map<std::pair<MessageId, int>, Line*> carries_;    // the line of an attempt that was not told yet
  Millis idleMostSeen_{1e15};
  std::map<int, std::pair<EndpointId, std::vector<Member>>> gathered_;  // by the number of the call
  std::vector<Line*> noted_;                                            // to be sent
};

}  // namespace stonewing::net
