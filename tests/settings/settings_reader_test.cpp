#include "settings/settings_reader.h"

#include <gtest/gtest.h>

#include <cstring>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/errors.h"
#include "support/dispatcher_settings.h"

// Reading of deployment and operator settings, and the errors for invalid ones.
namespace stonewing::testing {
namespace {

const char* kSettingsWithUnknownKeys =
    R"({"request-classes":[{"aim-s":1,"deadline-s":5,"name":"status","effect":"safe","new-key":3}],
  "family-info":{"call-slots":4},"limits":{"open-cap":9,"max-attempts":3},"unheard-of":[1],
  "rules":{"cold-from":0.2,"cold-s":10,"fall-multiple":2,"fall-s":1.5}})";

TEST(SettingsReader, ReadsWhoAnswersPollsForTheEndpointList) {
  EXPECT_EQ(readDeploymentSettings(settingsWith(R"("rules":{)", R"("registry-mode":"ask","rules":{)"))
                .discoveryKind,
            DiscoveryKind::sharedServer);
  EXPECT_EQ(readDeploymentSettings(settingsWith(R"("rules":{)", R"("registry-mode":"push","rules":{)"))
                .discoveryKind,
            DiscoveryKind::localAgent);
  EXPECT_EQ(readDeploymentSettings(kSettingsWithUnknownKeys).discoveryKind, DiscoveryKind::localAgent);
}

// The error for an invalid setting states the setting, its value and the allowed values. An unknown key is no
// error.
TEST(SettingsReader, NamesAWrongSettingAndWhatWouldBeRight) {
  struct Case {
    std::string part, replacement, expectedError;
  };
  for (const Case& wrong :
       {Case{R"("effect":"safe")", R"("effect":"often")",
             R"(setting 'effect' of class 'status' is "often"; it must be "safe", "keyed" or "unsafe")"},
        {R"("effect":"unsafe")", R"("effect":"keyed","group":"all","repeat-window-s":-1)",
         "setting 'repeat-window-s' of class 'order' is -1; it must be 0 or more"},
        {R"("effect":"unsafe")", R"("effect":"keyed","group":"ring","repeat-window-s":1)",
         R"(setting 'group' of class 'order' is "ring"; it must be "all", "zone" or "cell")"},
        {R"("aim-s":1)", R"("aim-s":0)", "setting 'aim-s' of class 'status' is 0; it must be more than 0"},
        {R"("rules":{)", R"("registry-mode":"pull","rules":{)",
         R"(setting 'registry-mode' is "pull"; it must be "push" or "ask")"},
        {R"("deadline-s":10)", R"("deadline-s":-5)",
         "setting 'deadline-s' of class 'status' is -5; it must be more than 0"}}) {
    try {
      readDeploymentSettings(settingsWith(wrong.part, wrong.replacement));
      ADD_FAILURE() << wrong.replacement;
    } catch (const Error& problem) {
      EXPECT_EQ(std::string(problem.what()), wrong.expectedError);
    }
  }
  auto settings = nlohmann::json::parse(kDispatcherSettings);
  settings["request-classes"] = nlohmann::json::array();
  EXPECT_THROW(readDeploymentSettings(settings.dump()), SettingsError);
  EXPECT_EQ(readDeploymentSettings(settingsWith(R"("aim-s":1)", R"("aim-s":1,"hue":"blue")")).types.size(),
            2u);
}

TEST(SettingsReader, SkipsUnknownKeysAndNamesAMissingOne) {
  EXPECT_EQ(readDeploymentSettings(kSettingsWithUnknownKeys).maxConcurrentRequests, 4);
  std::string text = kSettingsWithUnknownKeys;
  text.replace(text.find("open-cap"), 8, "xxxx-xxx");
  try {
    readDeploymentSettings(text);
    ADD_FAILURE();
  } catch (const Error& problem) {
    EXPECT_NE(std::string(problem.what()).find("open-cap"), std::string::npos);
  }
  EXPECT_THROW(readDeploymentSettings("nonsense"), SettingsError);
}

TEST(SettingsReader, NamesWhatIsWrongWithZonePrioritiesAndWhatWouldBeRight) {
  const std::vector<std::string> zones{"north", "south"};
  auto errorOf = [&](const char* text) {
    try {
      readZoneFailoverSettings(text, zones);
    } catch (const SettingsError& problem) {
      return std::string(problem.what());
    }
    return std::string();
  };
  EXPECT_EQ(errorOf(R"({"tiers":[["north"],["south"]],"spill":{"share":0.5},"return":{"climb_s":20}})"), "");
  EXPECT_NE(errorOf(R"({"tiers":[["nroth"]]})").find("the zones are north, south"), std::string::npos);
  EXPECT_NE(errorOf(R"({"tiers":[["north"],["north"]]})").find("twice"), std::string::npos);
  EXPECT_NE(errorOf(R"({"tiers":["north"]})").find("list of zones"), std::string::npos);
  EXPECT_NE(errorOf(R"({"tiers":[["north"]],"spil":{}})").find("spill"), std::string::npos);
  EXPECT_NE(errorOf(R"({"tiers":[["north"]],"spill":{"slots":7}})").find("from 0"), std::string::npos);
  EXPECT_NE(errorOf(R"({"tiers":[["north"]],"destinations":{"x":[["north"]]}})").find("number"),
            std::string::npos);
  EXPECT_NE(errorOf("{}").find("needs 'tiers'"), std::string::npos);
  EXPECT_EQ(readZoneFailoverSettings(R"({"tiers":[["south"]],"destinations":{"7":[["north"]]}})", zones)
                .priorities[0][0],
            ZoneId{1});
}

}  // namespace
}  // namespace stonewing::testing
