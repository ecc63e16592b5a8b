#include "storage/submission_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "base/errors.h"
#include "storage/record_codec.h"

namespace stonewing {
namespace {

constexpr std::size_t kMaxIdentifierBytes = 128;
constexpr int kOrderingKeyBase = 16;

// The number that the whole of `text` is; `format` are further arguments of std::from_chars.
template <class Number, class... Format>
std::optional<Number> parseNumber(std::string_view text, Format... format) {
  Number number{};
  const char* end = text.data() + text.size();
  auto [parsedEnd, error] = std::from_chars(text.data(), end, number, format...);
  if (error != std::errc() || parsedEnd != end) return std::nullopt;
  return number;
}

// Ids are put into headers, lines and JSON unescaped. So they are visible characters, and none that ends a
// word there.
bool isIdentifierCharacter(unsigned char character) {
  return character > ' ' && character < 0x7f && character != '"' && character != '\\' && character != ',';
}

std::string parseIdentifier(std::string_view text, const char* field) {
  bool isValid = !text.empty() && text.size() <= kMaxIdentifierBytes &&
                 std::all_of(text.begin(), text.end(), isIdentifierCharacter);
  if (!isValid) throw ProtocolError(std::string("bad ") + field);
  return std::string(text);
}

// The id of a name: its place in the table.
template <class Id>
Id findName(const std::vector<std::string>& names, std::string_view name, const char* field) {
  auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) throw ProtocolError(std::string("unknown ") + field);
  return Id{static_cast<decltype(Id{}.value)>(found - names.begin())};
}

OrderingKey parseOrderingKey(std::string_view text) {
  auto key = parseNumber<std::uint64_t>(text, kOrderingKeyBase);
  if (!key) throw ProtocolError("bad key");
  return OrderingKey{*key};
}

Millis parseLatencyObjective(std::string_view text) {
  auto objective = parseNumber<Millis>(text);
  if (!objective || !std::isfinite(*objective) || *objective < 0) throw ProtocolError("bad d");
  return *objective;
}

DestinationId parseDestination(std::string_view text) {
  auto destination = parseNumber<std::uint16_t>(text);
  if (!destination) throw ProtocolError("bad dest");
  return DestinationId{*destination};
}

struct Field {
  std::string_view name;
  std::string_view value;
};

Field splitField(std::string_view item) {
  std::size_t equals = item.find('=');
  if (equals == std::string_view::npos) throw ProtocolError("a name without a value");
  return {item.substr(0, equals), item.substr(equals + 1)};
}

// The fields of a list; a later one of the same name wins.
struct Fields {
  std::optional<TrafficTypeId> type;
  std::optional<Millis> latencyObjective;
  std::optional<DestinationId> destination;
  TenantId tenant{};
  std::string idempotencyKey;
};

void readField(Fields& fields, const NameTables& names, const Field& field) {
  if (field.name == "c") {
    fields.type = findName<TrafficTypeId>(names.trafficTypes, field.value, "class");
  } else if (field.name == "t") {
    fields.tenant = findName<TenantId>(names.tenants, field.value, "tenant");
  } else if (field.name == "d") {
    fields.latencyObjective = parseLatencyObjective(field.value);
  } else if (field.name == "k") {
    fields.idempotencyKey = parseIdentifier(field.value, "k");
  } else if (field.name == "dest") {
    fields.destination = parseDestination(field.value);
  }
}

Fields parseFieldList(const NameTables& names, std::string_view list) {
  Fields fields;
  while (!list.empty()) {
    std::size_t comma = std::min(list.find(','), list.size());
    readField(fields, names, splitField(list.substr(0, comma)));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  if (!fields.type || !fields.latencyObjective || !fields.destination) {
    throw ProtocolError("c, d and dest are needed");
  }
  return fields;
}

}  // namespace

StoredMessage parseSubmission(const NameTables& names, const Submission& submission, Millis receivedWall) {
  StoredMessage message;
  message.reference = parseIdentifier(submission.reference, "id");
  message.orderingKey = parseOrderingKey(submission.orderingKey);
  Fields fields = parseFieldList(names, submission.fieldList);
  message.type = *fields.type;
  message.tenant = fields.tenant;
  message.idempotencyKey = std::move(fields.idempotencyKey);
  message.destination = *fields.destination;
  message.deadlineWall = receivedWall + *fields.latencyObjective;
  message.body = std::make_shared<const std::string>(submission.body);
  message.acceptedFields =
      encodeAcceptedFields(submission.orderingKey, submission.reference, submission.fieldList);
  return message;
}

}  // namespace stonewing
