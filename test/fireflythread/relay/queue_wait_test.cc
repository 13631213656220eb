#include "fireflythread/relay/queue_wait.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflythread::test {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

auto MakePollOrder(milliseconds wait, Duration timeout) -> WorkerOrder {
  PollCommand poll;
  poll.wait = wait;
  return {poll, timeout};
}

auto PollWaitAfter(milliseconds wait, Duration waited) -> milliseconds {
  const auto order =
      DeductQueueWait(MakePollOrder(wait, milliseconds(1500)), waited);
  REQUIRE(order.has_value());
  return std::get<PollCommand>(order->command).wait;
}

}  // namespace

// Guards against a poll of a healthy worker that times out, because the worker
// waits for a completion as long as if the order had not been queued before.
TEST_CASE("A poll that was queued at a relay peer waits less at the worker",
          "[relay]") {
  CHECK(PollWaitAfter(milliseconds(1000), milliseconds(0)) ==
        milliseconds(1000));
  CHECK(PollWaitAfter(milliseconds(1000), milliseconds(150)) ==
        milliseconds(850));
  CHECK(PollWaitAfter(milliseconds(1000), microseconds(100)) ==
        milliseconds(999));
  CHECK(PollWaitAfter(milliseconds(100), milliseconds(150)) == milliseconds(0));
  CHECK(PollWaitAfter(milliseconds(0), milliseconds(150)) == milliseconds(0));
  const auto order = DeductQueueWait(
      MakePollOrder(milliseconds(1000), milliseconds(1500)), milliseconds(150));
  REQUIRE(order.has_value());
  CHECK(order->timeout == milliseconds(1350));
}

// Guards against an order that a relay peer performs shortly before its
// timeout.
TEST_CASE("An order is performed only after a short wait", "[relay]") {
  const WorkerOrder order{StartCommand{}, milliseconds(1500)};
  CHECK(DeductQueueWait(order, milliseconds(199)).has_value());
  CHECK_FALSE(DeductQueueWait(order, milliseconds(200)).has_value());
  CHECK_FALSE(DeductQueueWait(order, milliseconds(800)).has_value());
  const WorkerOrder hasty{StopCommand{}, milliseconds(50)};
  CHECK(DeductQueueWait(hasty, milliseconds(49)).has_value());
  CHECK_FALSE(DeductQueueWait(hasty, milliseconds(50)).has_value());
}

}  // namespace fireflythread::test
