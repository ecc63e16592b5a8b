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

// Parses the whole of `text` as a number; `format` holds further arguments of std::from_chars.
template <class Number, class... Format>
std::optional<Number> parseNumber(std::string_view text, Format... format) {
  Number number{};
  const char* end = text.data() + text.size();
  auto [parsedEnd, error] = std::from_chars(text.data(), end, number, format...);
  if (error != std::errc() || parsedEnd != end) return std::nullopt;
  return number;
}

// Ids are inserted unescaped into headers, lines and JSON. So only visible ASCII characters are allowed,
// except the quote, the backslash and the comma, which would end or change the text around the id.
bool isIdentifierCharacter(unsigned char character) {
  return character > ' ' && character < 0x7f && character != '"' && character != '\\' && character != ',';
}

std::string parseIdentifier(std::string_view text, const char* field) {
  bool isValid = !text.empty() && text.size() <= kMaxIdentifierBytes &&
                 std::all_of(text.begin(), text.end(), isIdentifierCharacter);
  if (!isValid)
    throw ProtocolError(
        std::string("expected 1 to 128 visible ASCII characters other than quote, backslash and comma in ") +
        field);
  return std::string(text);
}

// Returns the id of a name: its index in the table.
template <class Id>
Id findName(const std::vector<std::string>& names, std::string_view name, const char* field) {
  auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end())
    throw ProtocolError(std::string("the settings do not list the received ") + field);
  return Id{static_cast<decltype(Id{}.value)>(found - names.begin())};
}

OrderingKey parseOrderingKey(std::string_view text) {
  auto key = parseNumber<std::uint64_t>(text, kOrderingKeyBase);
  if (!key) throw ProtocolError("the ordering key must be a hexadecimal number of at most 64 bits");
  return OrderingKey{*key};
}

Millis parseLatencyObjective(std::string_view text) {
  auto objective = parseNumber<Millis>(text);
  if (!objective || !std::isfinite(*objective) || *objective < 0)
    throw ProtocolError("field d must be a finite number of milliseconds, 0 or more");
  return *objective;
}

DestinationId parseDestination(std::string_view text) {
  auto destination = parseNumber<std::uint16_t>(text);
  if (!destination) throw ProtocolError("field dest must be an integer from 0 to 65535");
  return DestinationId{*destination};
}

struct Field {
  std::string_view name;
  std::string_view value;
};

Field splitField(std::string_view item) {
  std::size_t equals = item.find('=');
  if (equals == std::string_view::npos)
    throw ProtocolError("each item of the field list must have the form name=value");
  return {item.substr(0, equals), item.substr(equals + 1)};
}

// The parsed fields of a field list. If a name occurs more than once, its last value is used.
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
    throw ProtocolError("the field list must contain c, d and dest");
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
