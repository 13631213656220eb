#include "fireflythread/fleet/vm_transitions.h"

#include <array>
#include <cstddef>

#include "fireflythread/fleet/vm_record.h"

namespace fireflythread {
namespace {

constexpr std::array<std::string_view, 6> kStateNames = {
    "serving", "draining", "drained", "rebooting", "verifying", "failed"};

}  // namespace

auto VmStateName(VmState state) -> std::string_view {
  return kStateNames.at(static_cast<std::size_t>(state));
}

auto ParseVmState(std::string_view name) -> std::optional<VmState> {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == name) {
      return static_cast<VmState>(i);
    }
  }
  return std::nullopt;
}

auto IsAllowedTransition(VmState from, VmState to) -> bool {
  switch (from) {
    case VmState::kServing:
      return to == VmState::kDraining || to == VmState::kFailed;
    case VmState::kDraining:
      return to == VmState::kDrained || to == VmState::kServing ||
             to == VmState::kFailed;
    case VmState::kDrained:
      return to == VmState::kServing || to == VmState::kRebooting ||
             to == VmState::kFailed;
    case VmState::kRebooting:
      return to == VmState::kVerifying || to == VmState::kFailed;
    case VmState::kVerifying:
      return to == VmState::kServing || to == VmState::kFailed;
    case VmState::kFailed:
      // Repair goes through a drain like any other reboot.
      return to == VmState::kDraining;
  }
  return false;
}

auto IsAllowedChange(const VmRecord& from, const VmRecord& to) -> bool {
  if (from.id != to.id || to.generation != from.generation + 1 ||
      !IsAllowedTransition(from.state, to.state)) {
    return false;
  }
  if (from.pool == to.pool) {
    return true;
  }
  return from.state == VmState::kDrained && to.state == VmState::kServing &&
         to.pool == from.next_pool;
}

}  // namespace fireflythread
