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
  JobId job;
  QueueId queue;
  /// What is stored: the job, or a tombstone.
  std::variant<JobRequest, CancelRequest> content;
  TimePoint deadline;
  Callback callback;
  /// Null once the submission must not be refused any more.
  RefusalCallback on_refused = nullptr;
  /// Version of an assignment that was found to have ended.
  std::uint64_t ended_version = 0;
  /// Time until which the submission waits; empty while it need not.
  std::optional<TimePoint> wait_until = {};
  /// The shard that was tried last.
  ShardName shard = {};
};

struct JobSubmitter::Target {
  SubmissionTarget place;
  /// Version of the queue's assignment.
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
  this->Try(std::make_shared<Pending>(Pending{job.id, job.queue, job, deadline,
                                              std::move(callback),
                                              std::move(on_refused)}));
}

auto JobSubmitter::SubmitTombstone(const CancelRequest& request,
                                   TimePoint deadline,
                                   Callback callback) -> void {
  this->Try(std::make_shared<Pending>(Pending{
      request.job, request.queue, request, deadline, std::move(callback)}));
}

auto JobSubmitter::FindTarget(const Pending& pending) const
    -> std::optional<Target> {
  const QueueAssignment* assignment =
      this->assignments.AssignmentOf(pending.queue);
  if (assignment == nullptr || assignment->version == pending.ended_version) {
    return std::nullopt;
  }
  const auto part =
      FindPartOfJob(this->parts, assignment->service, pending.job);
  if (!part) {
    return std::nullopt;
  }
  Target target;
  target.place.shard = ShardOf(*part);
  target.place.ended_key =
      EndedAssignmentKey(pending.queue, assignment->version);
  target.version = assignment->version;
  for (const ServiceName& former :
       FormerServices(*assignment, std::chrono::system_clock::now())) {
    const auto former_part = FindPartOfJob(this->parts, former, pending.job);
    if (!former_part) {
      return std::nullopt;
    }
    target.place.other_shards.push_back(ShardOf(*former_part));
  }
  return target;
}

auto JobSubmitter::Try(const std::shared_ptr<Pending>& pending) -> void {
  const auto target = this->FindTarget(*pending);
  if (!target) {
    if (pending->ended_version == 0) {
      this->assignments.WriteNow();
    } else {
      this->assignments.RefreshEnded(pending->queue, pending->ended_version);
    }
    this->Postpone(pending);
    return;
  }
  pending->shard = target->place.shard;
  if (const auto refusal = this->Decide(*pending, pending->shard)) {
    this->RefuseUnlessStored(pending, *target, *refusal);
    return;
  }
  this->Store(pending, *target);
}

auto JobSubmitter::Decide(const Pending& pending, const ShardName& shard)
    -> std::optional<AdmissionRefusal> {
  const auto* job = std::get_if<JobRequest>(&pending.content);
  if (job == nullptr || this->admission == nullptr || !pending.on_refused) {
    return std::nullopt;
  }
  return this->admission->Decide(shard, *job, ReadBootClock());
}

auto JobSubmitter::RefuseUnlessStored(const std::shared_ptr<Pending>& pending,
                                      const Target& target,
                                      const AdmissionRefusal& refusal) -> void {
  const TimePoint now = ReadBootClock();
  std::vector<ShardName> shards{target.place.shard};
  shards.insert(shards.end(), target.place.other_shards.begin(),
                target.place.other_shards.end());
  const TimePoint search_end =
      now + std::min<Duration>(kMaxSearch, (pending->deadline - now) / 2);
  // A job of another organisation is searched for as well: the submission finds
  // the conflict.
  this->handler.ReadState(
      std::move(shards), pending->job, std::nullopt, search_end,
      this->alive.Guard(
          [this, pending, target,
           refusal](const std::variant<JobState, JobRequestOutcome>& result) {
            const auto* outcome = std::get_if<JobRequestOutcome>(&result);
            if (outcome != nullptr && *outcome == JobRequestOutcome::kNoJob) {
              this->admission->RecordRefusal(
                  target.place.shard, std::get<JobRequest>(pending->content),
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
  auto done = this->alive.Guard(
      [this, pending, version = target.version](JobRequestOutcome outcome) {
        if (outcome != JobRequestOutcome::kMoved) {
          pending->callback(outcome, pending->shard);
          return;
        }
        pending->ended_version = version;
        this->assignments.RefreshEnded(pending->queue, version);
        this->Postpone(pending);
      });
  if (const auto* job = std::get_if<JobRequest>(&pending->content)) {
    this->handler.Submit(target.place, *job, pending->deadline,
                         std::move(done));
  } else {
    this->handler.SubmitTombstone(target.place,
                                  std::get<CancelRequest>(pending->content),
                                  pending->deadline, std::move(done));
  }
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
