#ifndef FIREFLYTHREAD_JOBS_RECORD_BATCH_H_
#define FIREFLYTHREAD_JOBS_RECORD_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

/// The progress row of a job that is to be stored.
struct JobRecord {
  JobId job;
  /// Version of the stored row; 0 when there is none.
  std::uint64_t version = 0;
  std::string value;
};

/// A run whose start is sent once its record is stored.
struct PlannedRun {
  TaskName task;
  int run = 0;
};

/// Progress rows that are stored in one transaction, and the runs that may be
/// started after that.
struct RecordBatch {
  std::vector<JobRecord> records;
  std::vector<PlannedRun> planned;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_RECORD_BATCH_H_
