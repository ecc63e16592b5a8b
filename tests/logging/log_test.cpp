#include "logging/log.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

#include "base/errors.h"

// Lines of the log in the text and the JSON format.
namespace stonewing::testing {
namespace {

TEST(Log, WritesTheSameFieldsInBothFormats) {
  std::initializer_list<log::Field> fields = {
      {"message", "9b1f"}, {"attempt", 2}, {"spent_ms", 1.5}, {"why", "it said \"no\"\n"}, {"bytes", "\xff"}};
  EXPECT_EQ(log::formatEvent(log::Format::text, "attempt.finished", fields),
            "attempt.finished message=9b1f attempt=2 spent_ms=1.5 why=\"it said \\\"no\\\"\\n\" bytes=\xff");
  std::string object = "{" + log::formatEvent(log::Format::json, "attempt.finished", fields) + "}";
  auto parsed = nlohmann::json::parse(object);
  EXPECT_EQ(parsed["event"], "attempt.finished");
  EXPECT_EQ(parsed["attempt"], 2);
  EXPECT_EQ(parsed["why"], "it said \"no\"\n");
  EXPECT_THROW(log::open("x", "loud", "text"), ConfigError);
  EXPECT_THROW(log::open("x", "info", "xml"), ConfigError);
}

}  // namespace
}  // namespace stonewing::testing
