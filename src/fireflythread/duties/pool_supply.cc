#include "fireflythread/duties/pool_supply.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

#include "fireflythread/jobs/pool_part.h"

namespace fireflythread {
namespace {

/// Returns whether the owner of a VM's part has listed its worker.
auto IsListed(const DutyState& state, const MachineView& machine) -> bool {
  const auto load = state.loads.find(machine.pool);
  return load != state.loads.end() &&
         load->second.workers.contains(machine.worker);
}

}  // namespace

auto PartCount(const DutyState& state, const ServiceName& pool) -> int {
  const auto count = state.part_counts.find(pool);
  return count == state.part_counts.end() ? 1 : count->second;
}

auto PartSupplyOf(PoolSupply& supply, const MachineView& machine) -> int& {
  const auto count = static_cast<int>(supply.parts.size());
  return supply
      .parts[static_cast<std::size_t>(PartOfWorker(machine.worker, count))];
}

auto CountArriving(const PoolSupply& supply) -> int {
  const int settled =
      std::accumulate(supply.parts.begin(), supply.parts.end(), 0);
  return std::max(0, supply.vms - supply.upkeeps - settled);
}

auto CountSupplies(const DutyState& state) -> PoolSupplies {
  PoolSupplies supplies;
  for (const auto& [vm, machine] : state.machines) {
    PoolSupply& supply = supplies[machine.pool];
    const auto parts = static_cast<std::size_t>(PartCount(state, machine.pool));
    supply.parts.resize(parts);
    supply.unlisted.resize(parts);
    ++supply.vms;
    if (!state.duties.contains(vm) && !machine.worker.empty()) {
      ++PartSupplyOf(supply, machine);
      if (!IsListed(state, machine)) {
        const int part = PartOfWorker(machine.worker, static_cast<int>(parts));
        ++supply.unlisted[static_cast<std::size_t>(part)];
      }
    }
  }
  for (const auto& [vm, duty] : state.duties) {
    const auto machine = state.machines.find(vm);
    if (!duty.wave && duty.target == state.spare_pool) {
      ++supplies[duty.from].returning;
    }
    if (duty.wave) {
      ++supplies[duty.from].upkeeps;
    } else if (machine != state.machines.end()) {
      --supplies[machine->second.pool].vms;
      ++supplies[duty.target].vms;
    }
  }
  return supplies;
}

}  // namespace fireflythread
