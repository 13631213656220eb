#include "fireflythread/jobs/open_workers.h"

#include <algorithm>
#include <limits>

#include "fireflythread/base/assert.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {
namespace {

auto IsUsable(const ShardWorker& worker, TimePoint now) -> bool {
  return worker.listed && worker.confirmed && worker.clock &&
         !worker.view.draining && !worker.drain_requested && !worker.gone &&
         worker.failed_polls == 0 && now >= worker.cooldown_until;
}

auto FreeRoom(const ShardWorker& worker) -> TaskSize {
  return Minus(worker.view.capacity, worker.used);
}

auto MostOf(const TaskSize& left, const TaskSize& right) -> TaskSize {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

auto FindMost(OpenWorkers& open) -> void {
  // Less than any need, which is never negative.
  constexpr TaskSize kNothing{-1, -1, -1};
  open.most_free = kNothing;
  open.most_whole = kNothing;
  for (const OpenWorker& each : open.workers) {
    open.most_free = MostOf(open.most_free, each.free);
    open.most_whole = MostOf(open.most_whole, each.worker->view.capacity);
  }
  open.cost.workers += static_cast<std::int64_t>(open.workers.size());
}

auto FindOpen(OpenWorkers& open, const WorkerId& worker)
    -> std::vector<OpenWorker>::iterator {
  const auto found =
      std::lower_bound(open.workers.begin(), open.workers.end(), worker,
                       [](const OpenWorker& each, const WorkerId& id) -> bool {
                         return *each.id < id;
                       });
  const bool is_open = found != open.workers.end() && *found->id == worker;
  return is_open ? found : open.workers.end();
}

auto MissesUnder(OpenWorkers& open, RoomRule rule) -> std::vector<RoomNeed>& {
  return rule == RoomRule::kFree ? open.free_misses : open.whole_misses;
}

/// Tasks that fit into room for one resource.
auto CountFitting(std::int64_t each, std::int64_t room) -> std::int64_t {
  if (each > room) {
    return 0;
  }
  return each > 0 ? room / each : std::numeric_limits<int>::max();
}

}  // namespace

auto FindOpenWorkers(const ShardState& state, TimePoint now) -> OpenWorkers {
  OpenWorkers open;
  open.workers.reserve(state.workers.size());
  for (const auto& [id, worker] : state.workers) {
    if (IsUsable(worker, now)) {
      open.workers.push_back({&id, &worker, FreeRoom(worker)});
    }
  }
  open.cost.workers += static_cast<std::int64_t>(state.workers.size());
  FindMost(open);
  return open;
}

auto UpdateRoom(OpenWorkers& open, const WorkerId& worker) -> void {
  const auto found = FindOpen(open, worker);
  if (found == open.workers.end()) {
    return;
  }
  const TaskSize before = found->free;
  found->free = FreeRoom(*found->worker);
  if (!Fits(found->free, before)) {
    open.free_misses.clear();
  }
  FindMost(open);
}

auto ReserveRoom(OpenWorkers& open, const WorkerId& worker) -> void {
  const auto found = FindOpen(open, worker);
  FIREFLYTHREAD_ASSERT(found != open.workers.end(),
                       "a reserved worker must be open");
  open.workers.erase(found);
  open.reserved = true;
  FindMost(open);
}

auto RoomUnder(const OpenWorker& worker, RoomRule rule) -> TaskSize {
  return rule == RoomRule::kFree ? worker.free : worker.worker->view.capacity;
}

auto IsKnownMiss(const OpenWorkers& open, const RoomNeed& need, RoomRule rule)
    -> bool {
  const bool free = rule == RoomRule::kFree;
  if (!Fits(need.each, free ? open.most_free : open.most_whole)) {
    return true;
  }
  const auto& misses = free ? open.free_misses : open.whole_misses;
  return std::any_of(
      misses.begin(), misses.end(), [&need](const RoomNeed& miss) -> bool {
        return miss.count <= need.count && Fits(miss.each, need.each) &&
               (miss.label.empty() || miss.label == need.label);
      });
}

auto NoteMiss(OpenWorkers& open, const RoomNeed& need, RoomRule rule) -> void {
  MissesUnder(open, rule).push_back(need);
}

auto HasRoomForAll(OpenWorkers& open, const RoomNeed& need) -> bool {
  std::int64_t room = 0;
  for (const OpenWorker& each : open.workers) {
    ++open.cost.workers;
    room += std::min(
        {CountFitting(need.each.millicores, each.free.millicores),
         CountFitting(need.each.memory_mb, each.free.memory_mb),
         CountFitting(need.each.accelerators, each.free.accelerators)});
    if (room >= need.count) {
      return true;
    }
  }
  return false;
}

}  // namespace fireflythread
