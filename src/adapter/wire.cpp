#include "adapter/wire.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace stonewing::wire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

namespace {
constexpr double kMillisPerSecond = 1000.0;
}

void Writer::begin(ActionCode code, std::uint32_t who) {
  put(static_cast<std::uint16_t>(code));
  put(who);
  ++count_;
}

void Writer::act(std::uint32_t who, const Decision& d) {
  auto endpoint = [&] { body_.append(reinterpret_cast<const char*>(&d.endpoint.value), 6); };
  switch (d.act) {
    case Act::launch:
      begin(kAttempt, who);
      put(d.message.value);
      endpoint();
      put(d.span / kMillisPerSecond);
      break;
    case Act::withdraw:
      begin(kWithdraw, who);
      put(d.message.value);
      put(static_cast<std::uint8_t>(d.attempt));
      break;
    case Act::shed:
      begin(kTurnAway, who);
      put(d.message.value);
      put(d.span / kMillisPerSecond);
      break;
    case Act::giveUp:
      begin(kRespondError, who);
      put(d.message.value);
      break;
    case Act::probe:
      begin(kTest, who);
      endpoint();
      break;
    case Act::closeIdle:
      begin(kDropConns, who);
      endpoint();
      break;
    case Act::wake:
      begin(kAfter, who);
      put(std::uint64_t{0});
      put(d.span / kMillisPerSecond);
      break;
  }
}

void Writer::failure(std::uint32_t who, std::string_view text) {
  text = text.substr(0, 0xffff);
  begin(kException, who);
  put(static_cast<std::uint16_t>(text.size()));
  body_.append(text);
}

std::string Writer::frame(std::uint32_t number) {
  std::string body = std::exchange(body_, {});
  put(number);
  put(std::exchange(count_, 0));
  put(static_cast<std::uint32_t>(body.size()));
  std::string whole = std::exchange(body_, {});
  return whole + body;
}

}  // namespace stonewing::wire
