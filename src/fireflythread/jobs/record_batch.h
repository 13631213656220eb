#ifndef FIREFLYTHREAD_JOBS_RECORD_BATCH_H_
#define FIREFLYTHREAD_JOBS_RECORD_BATCH_H_

#include <cstdint>
#include <map>
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

/// Progress rows that are stored in one transaction, and what follows from
/// that.
struct RecordBatch {
  std::vector<JobRecord> records;
  std::vector<PlannedRun> planned;
  /// Newest end of each worker whose effect is stored with this batch.
  std::map<WorkerId, std::uint64_t> ends;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_RECORD_BATCH_H_
