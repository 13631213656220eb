#ifndef FIREFLYTHREAD_DUTIES_MACHINE_VIEW_H_
#define FIREFLYTHREAD_DUTIES_MACHINE_VIEW_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// The state of a VM as the platform reports it.
enum class MachineState : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/// A VM in the platform's list.
struct MachineView {
  VmId vm;
  ServiceName pool;
  MachineState state = MachineState::kUp;
  TaskSize capacity;
  /// The worker on this VM; empty while there is none.
  WorkerId worker;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_MACHINE_VIEW_H_
