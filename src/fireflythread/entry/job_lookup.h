#ifndef FIREFLYTHREAD_ENTRY_JOB_LOOKUP_H_
#define FIREFLYTHREAD_ENTRY_JOB_LOOKUP_H_

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/job_request_outcome.h"
#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Finds jobs in the store. Each callback is called exactly once unless the
/// lookup is destroyed before.
class JobLookup {
 public:
  struct Query {
    /// Searched in this order. Must not be empty.
    std::vector<ShardName> shards;
    JobId job;
    /// Organisation of the caller; no value where organisations are not
    /// checked.
    std::optional<OrganisationName> caller;
    TimePoint deadline;
  };

  struct FoundJob {
    ShardName shard;
    JobState state = JobState::kQueued;
  };

  /// A job, or kNoJob, or kUnknown when the store did not answer in time or the
  /// job's row is unreadable.
  using Result = std::variant<FoundJob, JobRequestOutcome>;
  using Callback = std::function<void(const Result&)>;

  JobLookup(TableStore& store, const Logger& logger);
  JobLookup(const JobLookup&) = delete;
  auto operator=(const JobLookup&) -> JobLookup& = delete;

  /// Finds a job. A job of another organisation than the caller's is not found.
  /// A job that has not ended takes one or two reads of the store in its shard.
  auto Find(Query query, Callback callback) -> void;

 private:
  struct Pending;

  static auto Advance(Pending& pending) -> void;
  auto ReadTable(const std::shared_ptr<Pending>& pending) -> void;
  auto ApplyRows(const std::shared_ptr<Pending>& pending,
                 const std::vector<Row>& rows) -> void;
  auto Retry(const std::shared_ptr<Pending>& pending) -> void;

  TableStore& store;
  const Logger& logger;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_LOOKUP_H_
