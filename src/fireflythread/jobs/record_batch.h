#ifndef FIREFLYTHREAD_JOBS_RECORD_BATCH_H_
#define FIREFLYTHREAD_JOBS_RECORD_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

/// The progress row of one job as it is to be stored.
struct JobRecord {
  JobId job;
  /// Version that the stored row has; 0 when there is none.
  std::uint64_t version = 0;
  std::string value;
};

/// A run that begins once it is recorded.
struct PlannedRun {
  TaskName task;
  int run = 0;
};

/// Progress rows that are stored in one transaction, and the runs that may
/// begin then.
struct RecordBatch {
  std::vector<JobRecord> records;
  std::vector<PlannedRun> planned;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_RECORD_BATCH_H_
