#include "fireflythread/jobs/job_codec.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace fireflythread {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 5> kStateNames = {
    "queued", "running", "completed", "failed", "cancelled"};

auto ToMilliseconds(WallTime time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

auto FromMilliseconds(std::int64_t milliseconds) -> WallTime {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

auto EncodeStep(const JobStep& step) -> Json {
  return Json{{"count", step.count},
              {"millicores", step.size.millicores},
              {"memory_mb", step.size.memory_mb},
              {"accelerators", step.size.accelerators},
              {"estimate_ms", step.estimate.count()},
              {"after", step.after},
              {"checkpointing", step.checkpointing},
              {"gang", step.gang},
              {"same_rack", step.same_rack},
              {"speculative", step.speculative},
              {"long_running", step.long_running},
              {"filler", step.filler},
              {"required_label", step.required_label},
              {"data_rack", step.data_rack},
              {"max_per_worker", step.max_per_worker},
              {"image", step.image},
              {"latency_target_ms", step.latency_target.count()},
              {"disruption_budget", step.has_disruption_budget
                                        ? Json(step.disruption_budget)
                                        : Json(nullptr)}};
}

auto DecodeStep(const Json& json) -> JobStep {
  JobStep step;
  step.count = json.at("count").get<int>();
  step.size.millicores = json.at("millicores").get<std::int64_t>();
  step.size.memory_mb = json.at("memory_mb").get<std::int64_t>();
  step.size.accelerators = json.at("accelerators").get<std::int64_t>();
  step.estimate =
      std::chrono::milliseconds(json.at("estimate_ms").get<std::int64_t>());
  step.after = json.at("after").get<std::vector<int>>();
  step.checkpointing = json.at("checkpointing").get<bool>();
  step.gang = json.at("gang").get<bool>();
  step.same_rack = json.at("same_rack").get<bool>();
  step.speculative = json.at("speculative").get<bool>();
  step.long_running = json.at("long_running").get<bool>();
  step.filler = json.at("filler").get<bool>();
  step.required_label = json.at("required_label").get<std::string>();
  step.data_rack = json.at("data_rack").get<std::string>();
  step.max_per_worker = json.at("max_per_worker").get<int>();
  step.image = json.at("image").get<std::string>();
  step.latency_target = std::chrono::milliseconds(
      json.at("latency_target_ms").get<std::int64_t>());
  const Json& budget = json.at("disruption_budget");
  step.has_disruption_budget = !budget.is_null();
  step.disruption_budget = step.has_disruption_budget ? budget.get<int>() : 0;
  return step;
}

/// A task that was never touched is 0 and one that is done is 1; both are
/// frequent.
auto EncodeTask(const TaskState& task) -> Json {
  if (task.done) {
    return Json(1);
  }
  if (task.run == 0) {
    return Json(0);
  }
  return Json::array(
      {task.run, task.failures, task.worker.value, task.checkpoint});
}

auto DecodeTask(const Json& json) -> TaskState {
  TaskState task;
  if (json.is_number()) {
    task.done = json.get<int>() == 1;
    task.phase = task.done ? RunPhase::kDone : RunPhase::kWaiting;
    return task;
  }
  task.run = json.at(0).get<int>();
  task.failures = json.at(1).get<int>();
  task.worker = WorkerId(json.at(2).get<std::string>());
  task.checkpoint = json.at(3).get<std::string>();
  task.phase = task.worker.empty() ? RunPhase::kWaiting : RunPhase::kUnresolved;
  return task;
}

auto StateFromJson(const Json& json) -> std::optional<JobState> {
  const int number = json.at("state").get<int>();
  if (number < 0 || number >= static_cast<int>(kStateNames.size())) {
    return std::nullopt;
  }
  return static_cast<JobState>(number);
}

}  // namespace

auto EncodeJobRequest(const JobRequest& job) -> std::string {
  Json steps = Json::array();
  for (const JobStep& step : job.steps) {
    steps.push_back(EncodeStep(step));
  }
  return Json{{"queue", job.queue.value},
              {"spec", job.spec},
              {"steps", std::move(steps)},
              {"repeat_count", job.repeat_count},
              {"first_due_ms", ToMilliseconds(job.first_due)},
              {"interval_ms", job.interval.count()},
              {"accepted_ms", ToMilliseconds(job.accepted_at)}}
      .dump();
}

auto DecodeJobRequest(const JobId& id, std::string_view text)
    -> std::optional<JobRequest> {
  try {
    const Json json = Json::parse(text);
    JobRequest job;
    job.id = id;
    job.queue = QueueName(json.at("queue").get<std::string>());
    job.spec = json.at("spec").get<std::string>();
    for (const Json& step : json.at("steps")) {
      job.steps.push_back(DecodeStep(step));
    }
    job.repeat_count = json.at("repeat_count").get<int>();
    job.first_due =
        FromMilliseconds(json.at("first_due_ms").get<std::int64_t>());
    job.interval =
        std::chrono::milliseconds(json.at("interval_ms").get<std::int64_t>());
    job.accepted_at =
        FromMilliseconds(json.at("accepted_ms").get<std::int64_t>());
    return job;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto EncodeJobProgress(const JobProgress& progress) -> std::string {
  Json tasks = Json::array();
  for (const TaskState& task : progress.tasks) {
    tasks.push_back(EncodeTask(task));
  }
  return Json{{"state", static_cast<int>(progress.state)},
              {"tasks", std::move(tasks)}}
      .dump();
}

auto DecodeJobProgress(std::string_view text, std::size_t task_count)
    -> std::optional<JobProgress> {
  try {
    const Json json = Json::parse(text);
    const auto state = StateFromJson(json);
    const Json& tasks = json.at("tasks");
    if (!state || tasks.size() != task_count) {
      return std::nullopt;
    }
    JobProgress progress;
    progress.state = *state;
    for (const Json& task : tasks) {
      progress.tasks.push_back(DecodeTask(task));
    }
    return progress;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto DecodeJobState(std::string_view text) -> std::optional<JobState> {
  try {
    return StateFromJson(Json::parse(text));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto JobStateName(JobState state) -> std::string_view {
  return kStateNames.at(static_cast<std::size_t>(state));
}

}  // namespace fireflythread
