#include "fireflythread/relay/pending_orders.h"

namespace fireflythread {
namespace {

using OrderNode = std::unordered_map<std::uint64_t, PendingOrder>::iterator;

auto Remove(PendingOrders& pending, OrderNode found) -> PendingOrder {
  PendingOrder order = std::move(found->second);
  pending.orders.erase(found);
  const auto open_count = pending.open_by_peer.find(order.peer_id);
  if (--open_count->second == 0) {
    pending.open_by_peer.erase(open_count);
  }
  return order;
}

}  // namespace

auto AddPending(PendingOrders& pending, PendingOrder order) -> std::uint64_t {
  const std::uint64_t number = ++pending.last_number;
  pending.deadlines.emplace(order.sent_at + order.order.timeout + kReplySlack,
                            number);
  ++pending.open_by_peer[order.peer_id];
  pending.orders.emplace(number, std::move(order));
  return number;
}

auto TakePending(PendingOrders& pending,
                 std::uint64_t number,
                 const EntryId& peer_id) -> std::optional<PendingOrder> {
  const auto found = pending.orders.find(number);
  if (found == pending.orders.end() || found->second.peer_id != peer_id) {
    return std::nullopt;
  }
  return Remove(pending, found);
}

auto TakeOverdue(PendingOrders& pending, TimePoint now)
    -> std::vector<PendingOrder> {
  std::vector<PendingOrder> overdue;
  while (!pending.deadlines.empty() && pending.deadlines.top().first <= now) {
    const auto found = pending.orders.find(pending.deadlines.top().second);
    if (found != pending.orders.end()) {
      overdue.push_back(Remove(pending, found));
    }
    pending.deadlines.pop();
  }
  return overdue;
}

auto HasPending(const PendingOrders& pending, const EntryId& peer_id) -> bool {
  return pending.open_by_peer.contains(peer_id);
}

}  // namespace fireflythread
