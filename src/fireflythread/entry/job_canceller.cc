#include "fireflythread/entry/job_canceller.h"

#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/call_deadline.h"
#include "fireflythread/entry/job_request_handler.h"

namespace fireflythread {

struct JobCanceller::Pending {
  CancelRequest request;
  FindShards find_shards;
  TimePoint deadline;
  Callback callback;
};

JobCanceller::JobCanceller(JobRequestHandler& request_handler,
                           JobSubmitter& job_submitter)
    : handler(request_handler), submitter(job_submitter) {}

auto JobCanceller::Cancel(const CancelRequest& request,
                          FindShards find_shards,
                          TimePoint deadline,
                          Callback callback) -> void {
  this->Try(std::make_shared<Pending>(
      Pending{request, std::move(find_shards), deadline, std::move(callback)}));
}

auto JobCanceller::Try(const std::shared_ptr<Pending>& pending) -> void {
  auto shards = pending->find_shards();
  if (!shards) {
    pending->callback(JobRequestOutcome::kNotStored);
    return;
  }
  this->handler.Cancel(
      std::move(*shards), pending->request.job, pending->request.caller,
      pending->deadline,
      this->alive.Guard([this, pending](JobRequestOutcome outcome) {
        if (outcome == JobRequestOutcome::kNoJob) {
          this->StoreTombstone(pending);
        } else {
          pending->callback(outcome);
        }
      }));
}

auto JobCanceller::StoreTombstone(const std::shared_ptr<Pending>& pending)
    -> void {
  const OrganisationName caller =
      pending->request.caller.value_or(OrganisationName());
  if (!TryTake(this->budget, caller, ReadBootClock())) {
    pending->callback(JobRequestOutcome::kNotStored);
    return;
  }
  this->submitter.SubmitTombstone(
      pending->request, pending->deadline,
      this->alive.Guard(
          [this, pending](JobRequestOutcome outcome, const ShardName&) {
            this->ApplyOutcome(pending, outcome);
          }));
}

auto JobCanceller::ApplyOutcome(const std::shared_ptr<Pending>& pending,
                                JobRequestOutcome outcome) -> void {
  switch (outcome) {
    case JobRequestOutcome::kStored:
    case JobRequestOutcome::kForeign:
      pending->callback(JobRequestOutcome::kNoJob);
      return;
    case JobRequestOutcome::kJobExists:
      // The job was stored since it was looked for, so it is found now.
      if (HasTimeToRetry(pending->deadline)) {
        this->Try(pending);
      } else {
        pending->callback(JobRequestOutcome::kUnknown);
      }
      return;
    default:
      pending->callback(outcome);
  }
}

}  // namespace fireflythread
