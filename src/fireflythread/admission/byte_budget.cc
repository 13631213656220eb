#include "fireflythread/admission/byte_budget.h"

#include <algorithm>

namespace fireflythread {
namespace {

/// Returns the request that has made no progress for the longest time.
auto LongestStalled(const ByteBudget& budget) -> std::uint64_t {
  const auto stalled = std::min_element(
      budget.holders.begin(), budget.holders.end(),
      [](const auto& left, const auto& right) -> bool {
        return left.second.progressed_at < right.second.progressed_at;
      });
  return stalled->first;
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
  while (budget.used > budget.limit && !budget.holders.empty()) {
    const std::uint64_t stalled = LongestStalled(budget);
    ReleaseBytes(budget, stalled);
    evicted.push_back(stalled);
  }
  return evicted;
}

auto ReleaseBytes(ByteBudget& budget, std::uint64_t request) -> void {
  const auto holder = budget.holders.find(request);
  if (holder != budget.holders.end()) {
    budget.used -= holder->second.bytes;
    budget.holders.erase(holder);
  }
}

}  // namespace fireflythread
