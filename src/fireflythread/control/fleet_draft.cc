#include "fireflythread/control/fleet_draft.h"

#include <utility>

#include "fireflythread/base/assert.h"
#include "fireflythread/control/wave_codec.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/vm_record_codec.h"
#include "fireflythread/fleet/vm_transitions.h"

namespace fireflythread {
namespace {

constexpr const char* kLeaseTable = "lease";
constexpr const char* kEpochKey = "controller_epoch";

auto VersionOf(const ControllerInputs& inputs, const VmId& vm)
    -> std::uint64_t {
  const auto found = inputs.fleet->vms.find(vm);
  return found == inputs.fleet->vms.end() ? 0 : found->second.version;
}

}  // namespace

auto CanChange(const FleetDraft& draft, const VmId& vm) -> bool {
  return draft.changed.size() + draft.removed.size() <
             static_cast<std::size_t>(kMaxRowsPerStep) &&
         !draft.changed.contains(vm) && !draft.removed.contains(vm);
}

auto ChangeVm(FleetDraft& draft, const VmRecord& from, VmRecord to) -> void {
  to.generation = from.generation + 1;
  FIREFLYTHREAD_ASSERT(IsAllowedChange(from, to),
                       "the VM state machine allows the change");
  FIREFLYTHREAD_ASSERT(CanChange(draft, from.id),
                       "the step may still change the row of the VM");
  draft.changed.emplace(from.id, std::move(to));
}

auto AddVm(FleetDraft& draft, VmRecord record) -> void {
  FIREFLYTHREAD_ASSERT(CanChange(draft, record.id),
                       "the step may still change the row of the VM");
  record.generation = 1;
  VmId id = record.id;
  draft.changed.emplace(std::move(id), std::move(record));
}

auto RemoveVm(FleetDraft& draft, const VmId& vm) -> void {
  FIREFLYTHREAD_ASSERT(CanChange(draft, vm),
                       "the step may still change the row of the VM");
  draft.removed.insert(vm);
}

auto EditWave(FleetDraft& draft,
              const ControllerInputs& inputs,
              const WaveId& wave) -> WaveRecord* {
  const auto edited = draft.waves.find(wave);
  if (edited != draft.waves.end()) {
    return &edited->second;
  }
  const auto found = inputs.waves.find(wave);
  if (found == inputs.waves.end()) {
    return nullptr;
  }
  return &draft.waves.emplace(wave, found->second).first->second;
}

auto HasChanges(const FleetDraft& draft) -> bool {
  return !draft.changed.empty() || !draft.removed.empty() ||
         !draft.waves.empty();
}

auto MakeTransaction(const FleetDraft& draft,
                     const ControllerInputs& inputs,
                     std::string nonce) -> Transaction {
  Transaction transaction;
  transaction.nonce = std::move(nonce);
  const std::string fleet_table(kFleetTable);
  const auto add = [&transaction](const std::string& table,
                                  const std::string& key, std::uint64_t version,
                                  std::optional<std::string> value) {
    transaction.conditions.push_back({table, key, version});
    transaction.writes.push_back({table, key, std::move(value)});
  };
  transaction.conditions.push_back(
      {kLeaseTable, kEpochKey, inputs.epoch_row_version});
  add(fleet_table, std::string(kFleetHeadKey), inputs.fleet_head_row_version,
      EncodeFleetHead(inputs.fleet->version + 1));
  for (const auto& [vm, record] : draft.changed) {
    add(fleet_table, FleetKey(vm), VersionOf(inputs, vm),
        EncodeVmRecord(record));
  }
  for (const VmId& vm : draft.removed) {
    add(fleet_table, FleetKey(vm), VersionOf(inputs, vm), std::nullopt);
  }
  for (const auto& [wave, record] : draft.waves) {
    add(std::string(kWaveTable), wave.value, record.version,
        EncodeWaveRecord(record));
  }
  return transaction;
}

}  // namespace fireflythread
