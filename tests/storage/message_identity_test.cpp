#include "storage/message_identity.h"

#include <gtest/gtest.h>

#include <string>

#include "settings/settings_reader.h"
#include "storage/submission_parser.h"

namespace stonewing::testing {
namespace {

NameTables tables(std::vector<std::string> types, std::vector<std::string> tenants) {
  NameTables names;
  names.trafficTypes = std::move(types);
  names.tenants = std::move(tenants);
  return names;
}

const NameTables kNames = tables({"status", "order"}, {"north", "south"});

StoredMessage parse(const std::string& fields, const std::string& body = "lamp 7", const char* key = "2a",
                    const NameTables& names = kNames) {
  return parseSubmission(names, {key, "reference", fields, body}, 0);
}

const std::string kFields = "c=order,t=north,d=8000,k=5c,dest=7";

TEST(MessageIdentity, DiffersInEachPart) {
  const StoredMessage message = parse(kFields);
  const std::pair<MessagePart, StoredMessage> others[] = {
      {MessagePart::type, parse("c=status,t=north,d=8000,k=5c,dest=7")},
      {MessagePart::tenant, parse("c=order,t=south,d=8000,k=5c,dest=7")},
      {MessagePart::destination, parse("c=order,t=north,d=8000,k=5c,dest=8")},
      {MessagePart::orderingKey, parse(kFields, "lamp 7", "2b")},
      {MessagePart::idempotencyKey, parse("c=order,t=north,d=8000,dest=7")},
      {MessagePart::body, parse(kFields, "lamp 8")},
      {MessagePart::body, parse(kFields, "lamp 7 ")},
      {MessagePart::body, parse(kFields, "")},
  };
  for (const auto& [part, other] : others) {
    EXPECT_EQ(firstDifference(message, other), part);
    EXPECT_NE(fingerprintOf(message, kNames), fingerprintOf(other, kNames)) << nameOf(part);
  }
}

// The texts of two neighbouring parts are not run together.
TEST(MessageIdentity, DiffersWhereABorderBetweenPartsMoves) {
  const NameTables names = tables({"a", "ab"}, {"bc", "c"});
  const StoredMessage one = parse("c=a,t=bc,d=1,dest=7", "", "0", names);
  const StoredMessage other = parse("c=ab,t=c,d=1,dest=7", "", "0", names);
  EXPECT_NE(fingerprintOf(one, names), fingerprintOf(other, names));
}

TEST(MessageIdentity, IsTheSameForARepeatedSubmission) {
  const StoredMessage message = parse(kFields);
  for (const char* fields : {"c=order,t=north,d=5,k=5c,dest=7", "c=order,t=north,d=8000,k=5c,dest=7,r=1",
                             "again=1,dest=7,k=5c,d=8000,t=north,c=order"}) {
    EXPECT_EQ(firstDifference(message, parse(fields)), std::nullopt) << fields;
    EXPECT_EQ(fingerprintOf(message, kNames), fingerprintOf(parse(fields), kNames)) << fields;
  }
}

// A restart may find settings that list the same names in another order.
TEST(MessageIdentity, HasAFingerprintOfNamesAndNotOfTheirPlaces) {
  const NameTables reordered = tables({"new", "order", "status"}, {"west", "south", "north"});
  EXPECT_EQ(fingerprintOf(parse(kFields), kNames),
            fingerprintOf(parse(kFields, "lamp 7", "2a", reordered), reordered));
}

}  // namespace
}  // namespace stonewing::testing
