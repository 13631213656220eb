#ifndef FIREFLYTHREAD_ADMISSION_POOL_LOAD_H_
#define FIREFLYTHREAD_ADMISSION_POOL_LOAD_H_

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Capacity and load behind a queue: the slots that this entry may use, how
/// many of them are busy, and the mean time for which a request occupies one.
struct PoolLoad {
  int slots = 0;
  int busy = 0;
  Duration mean_time{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_POOL_LOAD_H_
