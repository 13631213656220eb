#ifndef TEST_FIREFLYTHREAD_ENTRY_QUEUE_ENTRY_H_
#define TEST_FIREFLYTHREAD_ENTRY_QUEUE_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/entry/job_canceller.h"
#include "fireflythread/entry/job_request_handler.h"
#include "fireflythread/entry/job_submitter.h"
#include "fireflythread/entry/queue_assignments_task.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/pool_parts.h"
#include "test/fireflythread/entry/fake_table_store.h"

namespace fireflythread::test {

inline constexpr std::chrono::milliseconds kQuickWrite{20};
inline constexpr std::chrono::milliseconds kSlowWrite{400};

/// The services whose pools hold jobs. Each has one shard of its name.
[[nodiscard]] auto JobServices() -> std::vector<std::string>;

/// What an entry does about the jobs of one queue.
struct QueueEntry {
  using State = std::variant<JobState, JobRequestOutcome>;

  QueueEntry(TableStore& store,
             const Logger& logger,
             std::chrono::milliseconds write_delay);

  /// Applies a configuration that has the queue under a name of its own.
  auto Configure(std::uint64_t version,
                 const std::string& service,
                 const std::string& name = "quotes") -> void;

  [[nodiscard]] auto KnowsAssignment() const -> bool;

  /// The shards that may hold a job, as the entry knows them.
  [[nodiscard]] auto ShardsOf(const std::string& job) const
      -> std::optional<std::vector<ShardName>>;

  auto Submit(const std::string& job) -> JobRequestOutcome;
  auto Cancel(const std::string& job) -> JobRequestOutcome;
  auto ReadState(const std::string& job) -> State;

  Queue queue;
  Configuration configuration;
  /// Organisation of the callers; no value where organisations are not checked.
  std::optional<OrganisationName> caller;
  PoolParts parts;
  QueueAssignmentsTask assignments;
  JobRequestHandler handler;
  JobSubmitter submitter;
  JobCanceller canceller;
};

/// Two entries with one store and one queue, which is assigned to the service
/// "desk".
struct QueueSite {
  QueueSite();

  /// Runs the main loop until the first entry finds the queue assigned to a
  /// service.
  auto RunUntilAssigned(const std::string& service) -> void;

  /// Returns the number of shards that hold the row of a job.
  [[nodiscard]] auto CountStored(const std::string& job) const -> int;

  FakeTableStore store;
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  QueueEntry first{this->store, this->logger, kQuickWrite};
  QueueEntry second{this->store, this->logger, kSlowWrite};
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_ENTRY_QUEUE_ENTRY_H_
