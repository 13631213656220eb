#ifndef FIREFLYTHREAD_JOBS_JOB_TABLES_H_
#define FIREFLYTHREAD_JOBS_JOB_TABLES_H_

#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Progress of jobs: part is the shard, key the job. Written by the shard's
/// owner only.
inline constexpr std::string_view kProgressTable = "progress";

/// Final states of jobs whose other rows are gone: part is the shard, key the
/// job. Written by the shard's owner only.
inline constexpr std::string_view kEndedTable = "ended";

/// Jobs that wait, by queue: part is the shard, with one row. Written by the
/// shard's owner, removed by each claim; without it, nobody knows.
inline constexpr std::string_view kWaitingTable = "waiting";
inline constexpr std::string_view kWaitingKey = "counts";

/// A shard's accepted jobs and cancellations. Each shard has a table of its
/// own, so that an owner follows only what concerns it. The part is the shard.
[[nodiscard]] auto JobTable(const ServiceName& shard) -> std::string;

[[nodiscard]] auto JobKey(const JobId& job) -> std::string;
[[nodiscard]] auto CancelKey(const JobId& job) -> std::string;

/// A row's key in a job table.
struct JobTableKey {
  JobId job;
  bool is_cancel = false;
};

[[nodiscard]] auto ParseJobTableKey(std::string_view key)
    -> std::optional<JobTableKey>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_TABLES_H_
