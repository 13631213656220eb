#ifndef FIREFLYTHREAD_DUTIES_MEASURE_LOAD_H_
#define FIREFLYTHREAD_DUTIES_MEASURE_LOAD_H_

#include "fireflythread/base/time.h"
#include "fireflythread/duties/pool_load.h"
#include "fireflythread/jobs/fwd.h"

namespace fireflythread {

/// Measures the current load of a shard's pool.
[[nodiscard]] auto MeasureLoad(ShardState& shard,
                               WallTime wall_now,
                               TimePoint now) -> PoolLoad;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_MEASURE_LOAD_H_
