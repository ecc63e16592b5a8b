#include "lab/trace.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <string_view>

#include "base/bytes.h"

namespace stonewing::lab {
namespace {

constexpr std::array kEventTypeNames{"handed-in",
                                     "taken",
                                     "busy",
                                     "failed",
                                     "unanswered",
                                     "arrived",
                                     "replied",
                                     "abandoned",
                                     "effect",
                                     "probed",
                                     "refused-connect",
                                     "noticed",
                                     "told",
                                     "up",
                                     "down",
                                     "out",
                                     "back",
                                     "fell",
                                     "room-fell",
                                     "answer-altered",
                                     "fault-struck"};
static_assert(kEventTypeNames.size() == static_cast<std::size_t>(TraceEventType::faultStruck) + 1);

std::ofstream openForWriting(const std::string& path) {
  std::ofstream out(path, std::ios::binary);
  if (!out) throw ConfigError("cannot write " + path);
  return out;
}

// Reads the fields of one line in order.
class CsvFields {
 public:
  CsvFields(std::string_view line, const std::string& file, std::size_t number)
      : rest_(line), file_(file), number_(number) {}
  std::string_view word() {
    if (done_) fail("the line has fewer fields than the table has columns");
    std::size_t comma = rest_.find(',');
    std::string_view field = rest_.substr(0, comma);
    done_ = comma == std::string_view::npos;
    rest_.remove_prefix(done_ ? rest_.size() : comma + 1);
    return field;
  }
  template <class T>
  T number() {
    std::string_view field = word();
    T value{};
    auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), value);
    if (error != std::errc() || end != field.data() + field.size()) {
      fail("'" + std::string(field) + "' is not a number, or is out of range for its column");
    }
    return value;
  }
  void end() const {
    if (!done_) fail("the line has more fields than the table has columns");
  }
  [[noreturn]] void fail(const std::string& problem) const {
    throw ConfigError(file_ + ":" + std::to_string(number_) + ": " + problem);
  }

 private:
  std::string_view rest_;
  const std::string& file_;
  std::size_t number_;
  bool done_{false};
};

template <class Row>
void forEachRow(const std::string& path, Row row) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw ConfigError(
        "cannot read " + path +
        "; `stonewing_lab run` and `stonewing_lab model` write this file to their output folder");
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    if (number == 1) continue;
    CsvFields fields(line, path, number);
    row(fields);
    fields.end();
  }
}

}  // namespace

const char* nameOf(TraceEventType type) { return kEventTypeNames.at(static_cast<std::size_t>(type)); }

void saveTrace(const Trace& trace, const std::string& folder) {
  std::ofstream events = openForWriting(folder + "/events.csv");
  events << "at_ms,what,callback,call,endpoint,dispatcher,status,span_ms,ran\n";
  char row[160];
  for (const TraceEvent& e : trace.events) {
    std::snprintf(row, sizeof row, "%.4f,%s,%u,%u,%u,%u,%d,%.4f,%d\n", e.at, nameOf(e.type), e.message,
                  e.request, e.endpoint, e.dispatcher, e.status, e.duration, e.executed ? 1 : 0);
    events << row;
  }
  std::ofstream messages = openForWriting(folder + "/callbacks.csv");
  messages << "origin,type,tenant,destination,key,due_ms\n";
  for (const SubmittedMessage& c : trace.messages) {
    std::snprintf(row, sizeof row, "%u,%u,%u,%u,%u,%.4f\n", c.origin, c.type, c.tenant, c.destination, c.key,
                  c.due);
    messages << row;
  }
  if (!events.flush() || !messages.flush())
    throw ConfigError("writing events.csv or callbacks.csv failed, possibly on a full disk, in folder " +
                      folder);
}

Trace loadTrace(const std::string& folder) {
  Trace trace;
  forEachRow(folder + "/callbacks.csv", [&](CsvFields& in) {
    SubmittedMessage c;
    c.origin = in.number<std::uint32_t>();
    c.type = in.number<std::uint16_t>();
    c.tenant = in.number<std::uint16_t>();
    c.destination = in.number<std::uint16_t>();
    c.key = in.number<std::uint32_t>();
    c.due = in.number<double>();
    trace.messages.push_back(c);
  });
  forEachRow(folder + "/events.csv", [&](CsvFields& in) {
    TraceEvent e;
    e.at = in.number<double>();
    std::string_view name = in.word();
    std::size_t place = 0;
    while (place < kEventTypeNames.size() && name != kEventTypeNames[place]) ++place;
    if (place == kEventTypeNames.size()) in.fail("'" + std::string(name) + "' is not a kind of event");
    e.type = static_cast<TraceEventType>(place);
    e.message = in.number<std::uint32_t>();
    e.request = in.number<std::uint32_t>();
    e.endpoint = in.number<std::uint32_t>();
    e.dispatcher = in.number<std::uint16_t>();
    e.status = in.number<std::int16_t>();
    e.duration = in.number<double>();
    e.executed = in.number<int>() != 0;
    trace.events.push_back(e);
  });
  return trace;
}

}  // namespace stonewing::lab
