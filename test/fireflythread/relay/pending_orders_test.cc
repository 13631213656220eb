#include "fireflythread/relay/pending_orders.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

auto Order(const char* peer_id, milliseconds timeout, TimePoint sent_at)
    -> PendingOrder {
  return {EntryId(peer_id), {StopCommand{}, timeout}, {}, sent_at};
}

}  // namespace

// Guards against a callback that runs twice, and against accepting a reply from
// an entry that did not receive the order.
TEST_CASE("An order is removed once and only for its own relay peer") {
  PendingOrders pending;
  const auto number =
      AddPending(pending, Order("h", milliseconds(1000), kStart));
  CHECK_FALSE(TakePending(pending, number, EntryId("other")).has_value());
  CHECK_FALSE(TakePending(pending, number + 1, EntryId("h")).has_value());
  CHECK(HasPending(pending, EntryId("h")));
  CHECK(TakePending(pending, number, EntryId("h")).has_value());
  CHECK_FALSE(TakePending(pending, number, EntryId("h")).has_value());
  CHECK_FALSE(HasPending(pending, EntryId("h")));
  CHECK(TakeOverdue(pending, kStart + milliseconds(5000)).empty());
  CHECK(pending.deadlines.empty());
}

// Guards against an order that times out too early or never.
TEST_CASE("Orders become overdue in the order of their deadlines") {
  PendingOrders pending;
  AddPending(pending, Order("a", milliseconds(2000), kStart));
  const auto second =
      AddPending(pending, Order("b", milliseconds(1000), kStart));
  CHECK(TakeOverdue(pending, kStart + milliseconds(1299)).empty());
  const auto first = TakeOverdue(pending, kStart + milliseconds(1300));
  REQUIRE(first.size() == 1);
  CHECK(first[0].peer_id == EntryId("b"));
  CHECK_FALSE(TakePending(pending, second, EntryId("b")).has_value());
  CHECK(TakeOverdue(pending, kStart + milliseconds(2299)).empty());
  CHECK(TakeOverdue(pending, kStart + milliseconds(2300)).size() == 1);
  CHECK(pending.orders.empty());
}

}  // namespace fireflythread::test
