#ifndef FIREFLYTHREAD_JOBS_JOB_TABLES_H_
#define FIREFLYTHREAD_JOBS_JOB_TABLES_H_

#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Table of the progress of jobs: the part is the shard, the key is the job.
/// Only the shard's owner writes it.
inline constexpr std::string_view kProgressTable = "progress";

/// Table of the final states of jobs whose other rows were removed, and of the
/// cancel tombstones of jobs that were not stored: the part is the shard, the
/// key is the job. The shard's owner writes it; any entry writes tombstones,
/// and the cancelled jobs that submissions make of them.
inline constexpr std::string_view kEndedTable = "ended";

/// Table of the number of waiting jobs of each queue, with one row in each
/// shard's part. The shard's owner writes it and each claim of the shard
/// removes it; without the row, or with kNoCounts in it, the counts are
/// unknown.
inline constexpr std::string_view kWaitingTable = "waiting";
inline constexpr std::string_view kWaitingKey = "counts";
inline constexpr std::string_view kNoCounts = "null";

/// Returns the name of the table of a shard's accepted jobs and cancellations.
/// Each shard has its own table, so that an owner follows only the changes of
/// its shard. The part is the shard.
[[nodiscard]] auto JobTable(const ShardName& shard) -> std::string;

[[nodiscard]] auto JobKey(const JobId& job) -> std::string;
[[nodiscard]] auto CancelKey(const JobId& job) -> std::string;

/// The parsed key of a row in a job table.
struct JobTableKey {
  JobId job;
  bool is_cancel = false;
};

[[nodiscard]] auto ParseJobTableKey(std::string_view key)
    -> std::optional<JobTableKey>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_TABLES_H_
