#ifndef FIREFLYTHREAD_FLEET_VM_RECORD_H_
#define FIREFLYTHREAD_FLEET_VM_RECORD_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/fleet/vm_state.h"

namespace fireflythread {

/// One VM's row in the `fleet` table. Only the controller writes it.
struct VmRecord {
  VmId id;
  /// The table revision of the row.
  std::uint64_t version = 0;
  /// The one pool that the VM belongs to.
  PoolName pool;
  /// The pool it goes to after draining; empty when it stays.
  PoolName next_pool;
  VmState state = VmState::kServing;
  /// Grows with every change of `pool` or `state`; entries acknowledge it.
  std::uint64_t generation = 0;
  /// The maintenance wave that drains it; empty otherwise.
  WaveId wave;
  /// Why it is in kFailed, for operators.
  std::string reason;
  /// The boot id that the health probe showed before the reboot was ordered;
  /// a different one shows that the reboot has happened.
  std::string boot;
  /// Copied from the VM list when the VM was first seen.
  std::string address;
  ZoneName zone;
  RackName rack;
  int cores = 0;
  int memory_mb = 0;
  int accelerators = 0;
  /// When the VM was adopted or last came back from a reboot that was ordered,
  /// in whole milliseconds; 1970 when that is not known.
  WallTime maintained_at;

  auto operator==(const VmRecord&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_VM_RECORD_H_
