#ifndef FIREFLYTHREAD_JOBS_ENDED_TRANSACTION_H_
#define FIREFLYTHREAD_JOBS_ENDED_TRANSACTION_H_

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Send time and duration of the last transaction that moved or removed rows of
/// ended jobs.
struct EndedTransaction {
  TimePoint sent_at;
  Duration took{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_TRANSACTION_H_
