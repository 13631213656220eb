#include "fireflythread/entry/job_submitter.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

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

/// Upper limit of the search for a stored job before a refusal. A submission
/// whose search fails is stored and needs the rest of its time for that.
constexpr milliseconds kMaxSearch{500};

}  // namespace

struct JobSubmitter::Pending {
  JobRequest job;
  TimePoint deadline;
  Callback callback;
  /// Null once the submission must not be refused any more.
  RefusalCallback on_refused;
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
                           const PoolParts& pool_parts,
                           AdmissionTask* admission_task)
    : handler(request_handler),
      assignments(queue_assignments),
      parts(pool_parts),
      admission(admission_task) {}

auto JobSubmitter::Submit(const JobRequest& job,
                          TimePoint deadline,
                          Callback callback,
                          RefusalCallback on_refused) -> void {
  auto pending = std::make_shared<Pending>();
  pending->job = job;
  pending->deadline = deadline;
  pending->callback = std::move(callback);
  pending->on_refused = std::move(on_refused);
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
  if (this->admission != nullptr && pending->on_refused) {
    const auto refusal =
        this->admission->Decide(target->shard, pending->job, ReadBootClock());
    if (refusal) {
      this->RefuseUnlessStored(pending, *target, *refusal);
      return;
    }
  }
  this->Store(pending, *target);
}

auto JobSubmitter::RefuseUnlessStored(const std::shared_ptr<Pending>& pending,
                                      const Target& target,
                                      const AdmissionRefusal& refusal) -> void {
  const TimePoint now = ReadBootClock();
  std::vector<ShardName> shards{target.shard};
  shards.insert(shards.end(), target.former_shards.begin(),
                target.former_shards.end());
  const TimePoint search_end =
      now + std::min<Duration>(kMaxSearch, (pending->deadline - now) / 2);
  // A job of another organisation is searched for as well: the submission finds
  // the conflict.
  this->handler.ReadState(
      std::move(shards), pending->job.id, std::nullopt, search_end,
      this->alive.Guard(
          [this, pending, target,
           refusal](const std::variant<JobState, JobRequestOutcome>& result) {
            const auto* outcome = std::get_if<JobRequestOutcome>(&result);
            if (outcome != nullptr && *outcome == JobRequestOutcome::kNoJob) {
              this->admission->RecordRefusal(target.shard, pending->job,
                                             refusal, ReadBootClock());
              pending->on_refused(refusal);
              return;
            }
            pending->on_refused = nullptr;
            this->Store(pending, target);
          }));
}

auto JobSubmitter::Store(const std::shared_ptr<Pending>& pending,
                         const Target& target) -> void {
  this->handler.Submit(
      target.shard, EndedAssignmentKey(pending->job.queue, target.version),
      target.former_shards, pending->job, pending->deadline,
      this->alive.Guard(
          [this, pending, version = target.version](JobRequestOutcome outcome) {
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
