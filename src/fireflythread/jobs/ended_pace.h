#ifndef FIREFLYTHREAD_JOBS_ENDED_PACE_H_
#define FIREFLYTHREAD_JOBS_ENDED_PACE_H_

#include "fireflythread/base/time.h"

namespace fireflythread {

/// The last transaction about ended jobs.
struct EndedPace {
  TimePoint sent_at;
  Duration took{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_PACE_H_
