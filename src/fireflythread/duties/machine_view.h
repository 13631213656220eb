#ifndef FIREFLYTHREAD_DUTIES_MACHINE_VIEW_H_
#define FIREFLYTHREAD_DUTIES_MACHINE_VIEW_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

enum class MachineState : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/// A VM as the platform lists it.
struct MachineView {
  VmId vm;
  ServiceName pool;
  MachineState state = MachineState::kUp;
  TaskSize capacity;
  /// Its worker; empty while there is none.
  WorkerId worker;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_MACHINE_VIEW_H_
