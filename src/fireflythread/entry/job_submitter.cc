#include "fireflythread/entry/job_submitter.h"

#include <chrono>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/run_later.h"
#include "fireflythread/jobs/pool_part.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Time between two looks at a queue's assignment.
constexpr milliseconds kRetryDelay{50};

/// A submission waits at most this long for an assignment. A caller that is
/// turned away can plan.
constexpr milliseconds kMaxWait{500};

}  // namespace

struct JobSubmitter::Pending {
  JobRequest job;
  TimePoint deadline;
  Callback callback;
  /// Version of an assignment that was found to have ended.
  std::uint64_t ended_version = 0;
  /// Time until which the submission waits; empty while it need not.
  std::optional<TimePoint> wait_until;
  ShardName shard;
};

struct JobSubmitter::Target {
  ShardName shard;
  std::vector<ShardName> former_shards;
  std::uint64_t version = 0;
};

JobSubmitter::JobSubmitter(JobRequestHandler& request_handler,
                           QueueAssignmentsTask& queue_assignments,
                           const PoolParts& pool_parts)
    : handler(request_handler),
      assignments(queue_assignments),
      parts(pool_parts) {}

auto JobSubmitter::Submit(const JobRequest& job,
                          TimePoint deadline,
                          Callback callback) -> void {
  auto pending = std::make_shared<Pending>();
  pending->job = job;
  pending->deadline = deadline;
  pending->callback = std::move(callback);
  this->Try(pending);
}

auto JobSubmitter::FindTarget(const Pending& pending) const
    -> std::optional<Target> {
  const QueueAssignment* assignment =
      this->assignments.AssignmentOf(pending.job.queue);
  if (assignment == nullptr || assignment->version == pending.ended_version) {
    return std::nullopt;
  }
  const auto part =
      FindPartOfJob(this->parts, assignment->service, pending.job.id);
  if (!part) {
    return std::nullopt;
  }
  Target target{ShardOf(*part), {}, assignment->version};
  for (const ServiceName& former :
       FormerServices(*assignment, std::chrono::system_clock::now())) {
    const auto former_part = FindPartOfJob(this->parts, former, pending.job.id);
    if (!former_part) {
      return std::nullopt;
    }
    target.former_shards.push_back(ShardOf(*former_part));
  }
  return target;
}

auto JobSubmitter::Try(const std::shared_ptr<Pending>& pending) -> void {
  const auto target = this->FindTarget(*pending);
  if (!target) {
    if (pending->ended_version == 0) {
      this->assignments.WriteNow();
    } else {
      this->assignments.RefreshEnded(pending->job.queue,
                                     pending->ended_version);
    }
    this->Postpone(pending);
    return;
  }
  pending->shard = target->shard;
  this->handler.Submit(
      target->shard, EndedAssignmentKey(pending->job.queue, target->version),
      target->former_shards, pending->job, pending->deadline,
      this->alive.Guard([this, pending,
                         version = target->version](JobRequestOutcome outcome) {
        if (outcome != JobRequestOutcome::kMoved) {
          pending->callback(outcome, pending->shard);
          return;
        }
        pending->ended_version = version;
        this->assignments.RefreshEnded(pending->job.queue, version);
        this->Postpone(pending);
      }));
}

auto JobSubmitter::Postpone(const std::shared_ptr<Pending>& pending) -> void {
  const TimePoint now = ReadBootClock();
  if (!pending->wait_until) {
    pending->wait_until = now + kMaxWait;
  }
  if (now >= *pending->wait_until || now >= pending->deadline) {
    pending->callback(JobRequestOutcome::kNotStored, pending->shard);
    return;
  }
  RunLater(kRetryDelay,
           this->alive.Guard([this, pending]() { this->Try(pending); }));
}

}  // namespace fireflythread
