#include "fireflythread/entry/run_log.h"

#include <string>
#include <string_view>

#include "fireflythread/jobs/given_up_run.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/poll_command.h"
#include "fireflythread/jobs/released_runs.h"
#include "fireflythread/jobs/shard_worker.h"
#include "fireflythread/jobs/start_command.h"
#include "fireflythread/jobs/stop_command.h"
#include "fireflythread/jobs/task_name.h"
#include "fireflythread/jobs/worker_report.h"

namespace fireflythread {
namespace {

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

RunLog::RunLog(const Logger& log, MetricsRegistry& registry)
    : logger(log), metrics(registry) {}

auto RunLog::RecordStart(const StartCommand& start, const OrderReply& reply)
    -> void {
  const std::string_view verdict = OrderVerdictName(reply.verdict);
  this->metrics
      .GetCounter("fireflythread_runs_ordered_total",
                  "Starts of runs, by the worker's answer",
                  {{"verdict", std::string(verdict)}})
      .Add();
  this->logger.Info("shard", "run_ordered",
                    {{"job", start.task.job},
                     {"task", FormatTaskName(start.task)},
                     {"run", start.run},
                     {"worker", start.worker},
                     {"fence", start.fence},
                     {"verdict", verdict},
                     {"reason", reply.reason}});
}

auto RunLog::RecordStop(const StopCommand& stop, const OrderReply& reply)
    -> void {
  this->logger.Info("shard", "run_stopped",
                    {{"job", stop.task.job},
                     {"task", FormatTaskName(stop.task)},
                     {"run", stop.run},
                     {"worker", stop.worker},
                     {"verdict", OrderVerdictName(reply.verdict)}});
}

auto RunLog::RecordCompletion(const WorkerId& worker,
                              const RunCompletion& ended) -> void {
  const std::string_view how = RunResultName(ended.end);
  this->metrics
      .GetCounter("fireflythread_runs_ended_total", "Runs that ended, by how",
                  {{"end", std::string(how)}})
      .Add();
  this->logger.Info("shard", "run_ended",
                    {{"job", ended.task.job},
                     {"task", FormatTaskName(ended.task)},
                     {"run", ended.run},
                     {"worker", worker},
                     {"end", how},
                     {"number", ended.number}});
}

auto RunLog::RecordFailedPoll(const PollCommand& poll, const OrderReply& reply)
    -> void {
  this->logger.Info("shard", "worker_look_failed",
                    {{"worker", poll.worker},
                     {"address", poll.address},
                     {"fence", poll.fence},
                     {"last_seen", poll.last_seen},
                     {"verdict", OrderVerdictName(reply.verdict)},
                     {"reason", reply.reason}});
}

auto RunLog::RecordUnresponsive(const ShardName& shard,
                                const ShardWorker& worker,
                                std::chrono::milliseconds held) -> void {
  this->logger.Warning("shard", "worker_unresponsive",
                       {{"shard", shard},
                        {"worker", worker.view.id},
                        {"runs", worker.tasks.size()},
                        {"held_ms", held.count()}});
}

auto RunLog::RecordReleased(const ShardName& shard,
                            const ReleasedRuns& released) -> void {
  this->logger.Warning(
      "shard", "runs_released",
      {{"shard", shard},
       {"worker", released.worker},
       {"runs", released.runs},
       {"reason", GiveUpReasonName(released.reason)},
       {"unresponsive_ms", ToMilliseconds(released.unresponsive)}});
}

auto RunLog::RecordGivenUp(const ShardName& shard, const GivenUpRun& given_up)
    -> void {
  const GiveUpEvidence& evidence = given_up.evidence;
  const std::string_view reason = GiveUpReasonName(evidence.reason);
  this->metrics
      .GetCounter("fireflythread_runs_given_up_total",
                  "Runs that were given up, by the reason",
                  {{"reason", std::string(reason)}})
      .Add();
  this->logger.Info("shard", "run_given_up",
                    {{"shard", shard},
                     {"job", given_up.task.job},
                     {"task", FormatTaskName(given_up.task)},
                     {"run", given_up.run},
                     {"worker", given_up.worker},
                     {"reason", reason},
                     {"verdict", OrderVerdictName(evidence.verdict)},
                     {"evidence_age_ms", ToMilliseconds(given_up.evidence_age)},
                     {"phase", RunPhaseName(given_up.phase)},
                     {"in_phase_ms", ToMilliseconds(given_up.in_phase)}});
}

auto RunLog::RecordFinished(const JobId& job,
                            JobState state,
                            std::uint64_t revision) -> void {
  this->logger.Info(
      "shard", "job_finished",
      {{"job", job}, {"state", JobStateName(state)}, {"revision", revision}});
}

}  // namespace fireflythread
