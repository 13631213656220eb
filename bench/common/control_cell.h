#ifndef BENCH_COMMON_CONTROL_CELL_H_
#define BENCH_COMMON_CONTROL_CELL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflythread/base/assert.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/control/controller.h"
#include "fireflythread/control/wave_codec.h"
#include "fireflythread/fleet/fleet_changes.h"
#include "fireflythread/fleet/fleet_update.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/vm_record_codec.h"
#include "fireflythread/fleet/vm_transitions.h"

namespace fireflythread::bench {

/// A VM of the virtual cell.
struct VirtualVm {
  std::uint64_t boot = 1;
  bool answering = true;
  TimePoint since;
  TimePoint up_at;
  /// Never answers again after its next reboot.
  bool breaks = false;
  bool told_to_drain = false;
  int reboots = 0;
};

/// A cell on a virtual clock: the table with conditional transactions, entries
/// that acknowledge drains, and VMs that reboot. Runs the real controller with
/// the real codecs. Used by benchmarks and by unit tests.
struct VirtualCell {
  ConfigSnapshot config;
  FleetView fleet;
  std::uint64_t revision = 1;
  std::uint64_t head_row_version = 0;
  std::map<WaveId, WaveRecord> waves;
  std::vector<ListedVm> listed;
  std::map<EntryId, MemberState> members;
  std::map<VmId, VirtualVm> vms;
  std::map<ServiceName, ServiceDemand> demand;
  std::map<VmId, WorkerFault> faults;
  ControllerMemory memory;
  ControllerLimits limits;
  TimePoint now{std::chrono::seconds(1000)};
  WallTime wall_time{};
  Duration step_time = std::chrono::milliseconds(250);
  /// Time until the last request on a draining VM has finished.
  Duration drain_time = std::chrono::milliseconds(500);
  Duration reboot_time = std::chrono::seconds(60);
  /// Entries that do not acknowledge.
  std::set<EntryId> silent;
  std::map<VmId, std::pair<std::uint64_t, TimePoint>> draining_since;
  int conflicts = 0;
  int pool_changes = 0;
  std::size_t bytes_written = 0;
};

/// Adds VMs, `rack_size` to a rack, racks in turn over the zones.
inline auto AddVms(VirtualCell& cell, int count, int rack_size, int zones)
    -> void {
  for (int i = 0; i < count; ++i) {
    const int rack = i / rack_size;
    ListedVm vm;
    std::string number = std::to_string(i);
    number.insert(0, 5 - std::min<std::size_t>(5, number.size()), '0');
    vm.id = VmId("worker-" + number);
    vm.address = "127.0.0.1:" + std::to_string(10000 + i);
    vm.zone = ZoneName("zone-" + std::to_string(rack % zones));
    vm.rack = RackName("rack-" + std::to_string(rack));
    vm.cores = 32;
    vm.memory_mb = 65536;
    cell.vms[vm.id] = VirtualVm{1, true, cell.now, cell.now, false, false, 0};
    cell.listed.push_back(std::move(vm));
  }
}

inline auto AddMembers(VirtualCell& cell, int count) -> void {
  for (int i = 0; i < count; ++i) {
    cell.members[EntryId("entry-" + std::to_string(i))] = {1, cell.now, 0};
  }
}

/// Adds a pool with one service of the same name.
inline auto AddPool(VirtualCell& cell,
                    const std::string& name,
                    PoolSpec spec,
                    Profile profile) -> void {
  spec.name = PoolName(name);
  profile.name = ProfileName(name);
  cell.config.pools[spec.name] = spec;
  if (spec.spare) {
    return;
  }
  ServiceSpec service;
  service.name = ServiceName(name);
  service.pool = spec.name;
  service.profile = profile.name;
  cell.config.profiles[profile.name] = std::move(profile);
  cell.config.services[service.name] = service;
}

/// Sets a service's demand to this many occupied slots.
inline auto SetDemand(VirtualCell& cell, const std::string& name, double slots)
    -> void {
  constexpr double kServiceSeconds = 0.1;
  ServiceDemand demand;
  demand.arrivals_per_second = slots / kServiceSeconds;
  demand.mean_service_seconds = kServiceSeconds;
  demand.in_flight = slots;
  cell.demand[ServiceName(name)] = demand;
}

inline auto MakeInputs(const VirtualCell& cell) -> ControllerInputs {
  ControllerInputs inputs;
  inputs.config = &cell.config;
  inputs.fleet = &cell.fleet;
  inputs.fleet_head_row_version = cell.head_row_version;
  inputs.vm_list = cell.listed;
  inputs.waves = cell.waves;
  inputs.demand = cell.demand;
  inputs.members = cell.members;
  inputs.faults = cell.faults;
  inputs.epoch = 1;
  inputs.epoch_row_version = 1;
  inputs.limits = cell.limits;
  inputs.now = cell.now;
  inputs.wall_time = cell.wall_time;
  for (const auto& [id, record] : cell.fleet.vms) {
    const auto vm = cell.vms.find(id);
    if (record.state != VmState::kServing && vm != cell.vms.end()) {
      inputs.probes[id] = {vm->second.answering, vm->second.since,
                           std::to_string(vm->second.boot)};
    }
  }
  return inputs;
}

inline auto RowVersion(const VirtualCell& cell, const Condition& condition)
    -> std::uint64_t {
  if (condition.table == "lease") {
    return 1;
  }
  if (condition.table == kWaveTable) {
    const auto wave = cell.waves.find(WaveId(condition.key));
    return wave == cell.waves.end() ? 0 : wave->second.version;
  }
  if (condition.key == kFleetHeadKey) {
    return cell.head_row_version;
  }
  const auto vm = cell.fleet.vms.find(VmId(condition.key.substr(3)));
  return vm == cell.fleet.vms.end() ? 0 : vm->second.version;
}

/// Stops the program when a transaction breaks the VM state machine.
inline auto CheckChange(const VirtualCell& cell, const VmRecord& record)
    -> void {
  const auto before = cell.fleet.vms.find(record.id);
  FIREFLYTHREAD_ASSERT(
      before == cell.fleet.vms.end() || IsAllowedChange(before->second, record),
      "every written row follows the VM state machine");
}

inline auto ApplyTransaction(VirtualCell& cell, const Transaction& transaction)
    -> void {
  for (const Condition& condition : transaction.conditions) {
    if (RowVersion(cell, condition) != condition.version) {
      ++cell.conflicts;
      return;
    }
  }
  ++cell.revision;
  FleetChanges changes{cell.fleet.version, cell.fleet.version + 1, {}, {}};
  for (const Write& write : transaction.writes) {
    cell.bytes_written += write.key.size() + write.value.value_or("").size();
    const Row row{write.table, write.key, cell.revision,
                  write.value.value_or("")};
    if (write.table == kWaveTable) {
      cell.waves[WaveId(write.key)] =
          std::get<WaveRecord>(DecodeWaveRecord(row));
    } else if (write.key == kFleetHeadKey) {
      cell.head_row_version = cell.revision;
    } else if (write.value.has_value()) {
      const VmRecord record = std::get<VmRecord>(DecodeVmRecord(row));
      CheckChange(cell, record);
      const auto before = cell.fleet.vms.find(record.id);
      cell.pool_changes +=
          before != cell.fleet.vms.end() && before->second.pool != record.pool
              ? 1
              : 0;
      changes.rows.push_back(row);
    } else {
      changes.deleted.push_back({write.key, cell.revision});
    }
  }
  std::vector<RowError> errors;
  const FleetUpdate update = ApplyFleetChanges(cell.fleet, changes, errors);
  FIREFLYTHREAD_ASSERT(update == FleetUpdate::kApplied,
                       "the cell applies its own rows");
}

inline auto RunCommand(VirtualCell& cell, const VmCommand& command) -> void {
  VirtualVm& vm = cell.vms[command.vm];
  switch (command.kind) {
    case VmCommandKind::kDrain:
      vm.told_to_drain = true;
      break;
    case VmCommandKind::kUndrain:
      vm.told_to_drain = false;
      break;
    case VmCommandKind::kReboot:
      if (vm.answering) {
        FIREFLYTHREAD_ASSERT(vm.told_to_drain,
                             "a worker is told to drain before its reboot");
        vm.answering = false;
        vm.since = cell.now;
        vm.up_at = cell.now + cell.reboot_time;
        ++vm.reboots;
      }
      break;
    case VmCommandKind::kStop:
      break;
  }
}

inline auto AdvanceVms(VirtualCell& cell) -> void {
  for (auto& [id, vm] : cell.vms) {
    if (!vm.answering && !vm.breaks && cell.now >= vm.up_at) {
      vm.answering = true;
      vm.since = cell.now;
      ++vm.boot;
    }
  }
}

inline auto Acknowledge(VirtualCell& cell) -> void {
  for (auto& [entry, member] : cell.members) {
    if (!cell.silent.contains(entry)) {
      member.last_heard = cell.now;
      member.fleet_version = cell.fleet.version;
    }
  }
  for (const auto& [id, record] : cell.fleet.vms) {
    if (record.state != VmState::kDraining) {
      continue;
    }
    auto& [generation, since] = cell.draining_since[id];
    if (generation != record.generation) {
      generation = record.generation;
      since = cell.now;
    }
    if (cell.now - since < cell.drain_time) {
      continue;
    }
    for (const auto& [entry, member] : cell.members) {
      if (!cell.silent.contains(entry)) {
        NoteDrainAcknowledgement(cell.memory.drains, entry, id,
                                 {member.incarnation, record.generation});
      }
    }
  }
}

/// One controller step and what follows from it.
inline auto Step(VirtualCell& cell) -> ControllerDecision {
  cell.now += cell.step_time;
  cell.wall_time +=
      std::chrono::duration_cast<WallTime::duration>(cell.step_time);
  AdvanceVms(cell);
  Acknowledge(cell);
  const ControllerInputs inputs = MakeInputs(cell);
  ControllerDecision decision = RunControllerStep(inputs, cell.memory);
  for (const VmCommand& command : decision.commands) {
    RunCommand(cell, command);
  }
  for (const Transaction& transaction : decision.transactions) {
    ApplyTransaction(cell, transaction);
  }
  return decision;
}

inline auto RunFor(VirtualCell& cell, Duration duration) -> void {
  const TimePoint end = cell.now + duration;
  while (cell.now < end) {
    Step(cell);
  }
}

/// Declares a wave as an entry would.
inline auto DeclareWave(VirtualCell& cell,
                        const std::string& id,
                        WaveSelector selector) -> void {
  WaveRecord wave;
  wave.id = WaveId(id);
  wave.version = ++cell.revision;
  wave.selector = std::move(selector);
  wave.declared_by = "bench";
  cell.waves[wave.id] = std::move(wave);
}

/// Steps until the wave has finished; gives up after `limit`.
inline auto RunWave(VirtualCell& cell, const std::string& id, Duration limit)
    -> bool {
  const TimePoint end = cell.now + limit;
  while (cell.now < end) {
    Step(cell);
    if (cell.waves.at(WaveId(id)).state == WaveState::kFinished) {
      return true;
    }
  }
  return false;
}

inline auto CountPool(const VirtualCell& cell, const std::string& pool) -> int {
  int count = 0;
  for (const auto& [id, record] : cell.fleet.vms) {
    count += record.pool.value == pool ? 1 : 0;
  }
  return count;
}

}  // namespace fireflythread::bench

#endif  // BENCH_COMMON_CONTROL_CELL_H_
