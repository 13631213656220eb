#include "fireflythread/admission/byte_budget.h"

namespace fireflythread {
namespace {

/// Returns the request that has made no progress for the longest time, of those
/// that are still being received; the end if there is none.
auto LongestStalled(ByteBudget& budget) {
  auto stalled = budget.holders.end();
  for (auto each = budget.holders.begin(); each != budget.holders.end();
       ++each) {
    if (!each->second.handled &&
        (stalled == budget.holders.end() ||
         each->second.progressed_at < stalled->second.progressed_at)) {
      stalled = each;
    }
  }
  return stalled;
}

}  // namespace

auto ChargeBytes(ByteBudget& budget,
                 std::uint64_t request,
                 std::size_t bytes,
                 TimePoint now) -> std::vector<std::uint64_t> {
  ByteBudget::Holder& holder = budget.holders[request];
  holder.bytes += bytes;
  holder.progressed_at = now;
  budget.used += bytes;
  std::vector<std::uint64_t> evicted;
  while (budget.used > budget.limit) {
    const auto stalled = LongestStalled(budget);
    if (stalled == budget.holders.end()) {
      break;
    }
    evicted.push_back(stalled->first);
    ReleaseBytes(budget, stalled->first);
  }
  return evicted;
}

auto MarkHandled(ByteBudget& budget, std::uint64_t request) -> void {
  const auto holder = budget.holders.find(request);
  if (holder != budget.holders.end()) {
    holder->second.handled = true;
  }
}

auto ReleaseBytes(ByteBudget& budget, std::uint64_t request) -> void {
  const auto holder = budget.holders.find(request);
  if (holder != budget.holders.end()) {
    budget.used -= holder->second.bytes;
    budget.holders.erase(holder);
  }
}

}  // namespace fireflythread
