#ifndef FIREFLYTHREAD_ADMIN_WAVE_STATUS_H_
#define FIREFLYTHREAD_ADMIN_WAVE_STATUS_H_

#include <optional>
#include <string>
#include <vector>

#include "fireflythread/admin/blocked_vm.h"
#include "fireflythread/admin/wave_selector.h"
#include "fireflythread/admin/wave_state.h"
#include "fireflythread/admin/wave_step.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// A maintenance wave and how far it has come.
struct WaveStatus {
  /// Empty for a dry run.
  WaveId id;
  WaveSelector selector;
  WaveState state = WaveState::kDeclared;
  std::string declared_by;
  std::string reason;
  WallTime declared_at;
  int vms_total = 0;
  int vms_done = 0;
  int vms_in_progress = 0;
  int vms_failed = 0;
  /// No value while it cannot be foreseen.
  std::optional<WallTime> expected_end;
  std::vector<BlockedVm> blocked;
  /// What is still to come; the whole wave for a dry run. May be empty where
  /// only an overview was asked for.
  std::vector<WaveStep> steps;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_WAVE_STATUS_H_
