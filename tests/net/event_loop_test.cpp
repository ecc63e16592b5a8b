#include "net/event_loop.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "support/loopback.h"

namespace stonewing::testing {
namespace {

// A handler that never finishes its work in one turn.
struct UnfinishedHandler : EventHandler {
  EventLoop& loop;
  int fd;
  int calls = 0;

  UnfinishedHandler(EventLoop& eventLoop, int descriptor) : loop(eventLoop), fd(descriptor) {}
  void onEvents(std::uint32_t) override {
    ++calls;
    loop.reschedule(fd);
  }
};

// A connection on which bytes went on arriving while it had work left was called once more in every further
// turn, without end.
TEST(EventLoop, ARescheduledHandlerIsCalledNoMoreOftenTheLongerItsPeerSends) {
  constexpr int kTurns = 100;
  constexpr int kCallsPerTurn = 2;  // one because it asked for it, and one for the bytes that have arrived
  std::array<int, 2> sockets{};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()), 0);
  EventLoop loop;
  UnfinishedHandler handler(loop, sockets[0]);
  ASSERT_TRUE(loop.watch(sockets[0], handler));
  for (int turn = 0; turn < kTurns; ++turn) {
    sendBytes(sockets[1], "x");
    loop.wait(loop.now());
    loop.dispatch();
  }
  EXPECT_GE(handler.calls, kTurns);
  EXPECT_LE(handler.calls, kTurns * kCallsPerTurn);
  loop.unwatch(sockets[0]);
  for (int fd : sockets) ::close(fd);
}

}  // namespace
}  // namespace stonewing::testing
