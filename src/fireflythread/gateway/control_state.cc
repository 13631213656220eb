#include "fireflythread/gateway/control_state.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {

namespace {

auto RefreshWorker(GatewayState& state, const VmRecord& vm) -> void {
  WorkerState& worker = state.workers[vm.id];
  const bool serving =
      vm.state == VmState::kServing && !state.leaving.contains(vm.id);
  if (!worker.connections || worker.connections->Address() != vm.address) {
    worker.connections = std::make_shared<ConnectionSet>(
        vm.address, state.settings.max_response_bytes, state.timers);
  }
  if (worker.serving != serving || worker.pool != vm.pool) {
    ++worker.epoch;
  }
  worker.serving = serving;
  worker.pool = vm.pool;
  worker.zone = vm.zone;
  worker.cores = vm.cores;
  worker.memory_mb = vm.memory_mb;
}

auto DropOldWorkers(GatewayState& state) -> void {
  const TimePoint now = ReadBootClock();
  for (auto it = state.workers.begin(); it != state.workers.end();) {
    WorkerState& worker = it->second;
    std::erase_if(worker.uncertain_until,
                  [&](TimePoint until) { return until <= now; });
    bool keep = true;
    if (!state.fleet->vms.contains(it->first)) {
      worker.epoch += worker.serving ? 1 : 0;
      worker.serving = false;
      keep = CountInFlight(worker, now) > 0;
    }
    it = keep ? std::next(it) : state.workers.erase(it);
  }
}

auto RefreshPool(GatewayState& state, GatewayPool& pool) -> void {
  std::map<VmId, int> slots;
  std::set<VmId> serving;
  pool.largest_cores = 0;
  pool.largest_memory_mb = 0;
  for (const auto& [id, worker] : state.workers) {
    if (worker.pool == pool.name && worker.serving) {
      slots[id] = pool.spec.slots_per_worker;
      serving.insert(id);
    }
    if (worker.pool == pool.name) {
      pool.largest_cores = std::max(pool.largest_cores, worker.cores);
      pool.largest_memory_mb =
          std::max(pool.largest_memory_mb, worker.memory_mb);
    }
  }
  pool.slots.SetWorkers(slots);
  pool.health.SetWorkers(serving);
  pool.slots.SetEjected(pool.health.Ejected());
  pool.workers.assign(serving.begin(), serving.end());
}

}  // namespace

auto RefreshPools(GatewayState& state) -> void {
  if (!state.config || !state.fleet) {
    return;
  }
  for (const auto& [id, vm] : state.fleet->vms) {
    RefreshWorker(state, vm);
  }
  DropOldWorkers(state);
  std::map<TeamName, double> weights;
  for (const auto& [name, team] : state.config->teams) {
    weights[name] = team.weight;
  }
  for (const auto& [name, spec] : state.config->pools) {
    const auto [found, added] =
        state.pools.try_emplace(name, name, state.settings);
    found->second.spec = spec;
    if (added) {
      found->second.slots.BlockOwnUntil(state.predecessor_until);
    }
  }
  // A pool that is no longer configured stays, for the requests in its queue.
  for (auto& [name, pool] : state.pools) {
    pool.queue.SetTeamWeights(weights);
    RefreshPool(state, pool);
  }
  state.teams.SetQuotas(state.config->teams);
}

auto BlockOwnSlots(GatewayState& state, TimePoint until) -> void {
  state.predecessor_until = until;
  for (auto& [name, pool] : state.pools) {
    pool.slots.BlockOwnUntil(until);
  }
}

}  // namespace fireflythread
