#ifndef FIREFLYTHREAD_RELAY_PENDING_ORDERS_H_
#define FIREFLYTHREAD_RELAY_PENDING_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/relay/pending_order.h"

namespace fireflythread {

/// The orders that an owner handed to its paths and that have no reply yet. An
/// order leaves the table once, so its callback runs once.
struct PendingOrders {
  using Deadline = std::pair<TimePoint, std::uint64_t>;

  std::unordered_map<std::uint64_t, PendingOrder> orders;
  /// Also of orders that have left the table, until the time has come.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
      deadlines;
  std::map<EntryId, int> open_by_peer;
  std::uint64_t last_number = 0;
};

/// The helper's reply may come this long after an order's own time: covers the
/// gathering on both sides, the way and a helper that is short of CPU.
inline constexpr std::chrono::milliseconds kReplySlack{300};

/// Adds an order and gives its number.
auto AddPending(PendingOrders& pending, PendingOrder order) -> std::uint64_t;

/// Takes an order out. No value when it has left the table, or was not handed
/// to this helper.
[[nodiscard]] auto TakePending(PendingOrders& pending,
                               std::uint64_t number,
                               const EntryId& peer_id)
    -> std::optional<PendingOrder>;

/// Takes out the orders whose time, with the slack, is over.
[[nodiscard]] auto TakeOverdue(PendingOrders& pending, TimePoint now)
    -> std::vector<PendingOrder>;

[[nodiscard]] auto HasPending(const PendingOrders& pending,
                              const EntryId& peer_id) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_PENDING_ORDERS_H_
