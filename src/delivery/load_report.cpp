#include "delivery/load_report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace stonewing {
namespace {

// The names, in the header, of the two fields that the policy uses.
constexpr std::string_view kRemainingShareField = "x0";
constexpr std::string_view kRateLimitField = "x1";

// Removes the first item of a comma-separated list from `list` and returns it.
std::string_view takeItem(std::string_view& list) {
  std::size_t comma = std::min(list.find(','), list.size());
  std::string_view item = list.substr(0, comma);
  list.remove_prefix(std::min(comma + 1, list.size()));
  return item;
}

// Parses a finite number that is not negative; other text before or after it is not allowed.
std::optional<double> parseQuantity(std::string_view text) {
  double value = -1;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  bool isNumber = error == std::errc() && end == text.data() + text.size();
  if (!isNumber || !std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

}  // namespace

LoadReport parseLoadReport(std::string_view header, const std::vector<std::string>& knownFields) {
  LoadReport report;
  while (!header.empty()) {
    std::string_view item = takeItem(header);
    std::size_t equals = std::min(item.find('='), item.size());
    std::string_view field = item.substr(0, equals);
    std::optional<double> value = parseQuantity(item.substr(std::min(equals + 1, item.size())));
    bool isKnown = std::find(knownFields.begin(), knownFields.end(), field) != knownFields.end();
    // Without this check, a malformed part of a header could make another part look like a rate limit.
    if (!isKnown || !value) return {};
    if (field == kRemainingShareField) report.remainingShare = *value;
    if (field == kRateLimitField) report.rateLimit = *value;
  }
  return report;
}

}  // namespace stonewing
