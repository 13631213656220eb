#include "fireflythread/jobs/job_codec.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/jobs/cancel_tombstone.h"
#include "fireflythread/jobs/shard_job.h"

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

/// Sets a member unless it has its default value, which decoders assume.
template <typename T>
auto SetUnless(Json& json, const char* name, const T& value, const T& absent)
    -> void {
  if (value != absent) {
    json[name] = value;
  }
}

auto EncodeTerms(const QueueTerms& terms) -> Json {
  return Json{{"priority", terms.priority},
              {"max_attempts", terms.max_attempts},
              {"stretch", terms.stretch},
              {"latency_objective_ms", terms.latency_objective.count()}};
}

auto EncodeStep(const JobStep& step) -> Json {
  const JobStep none;
  Json json{{"count", step.count}};
  SetUnless(json, "millicores", step.size.millicores, none.size.millicores);
  SetUnless(json, "memory_mb", step.size.memory_mb, none.size.memory_mb);
  SetUnless(json, "accelerators", step.size.accelerators,
            none.size.accelerators);
  SetUnless(json, "estimate_ms", step.estimate.count(), none.estimate.count());
  SetUnless(json, "after", step.after, none.after);
  SetUnless(json, "checkpointing", step.checkpointing, none.checkpointing);
  SetUnless(json, "gang", step.gang, none.gang);
  SetUnless(json, "same_rack", step.same_rack, none.same_rack);
  SetUnless(json, "speculative", step.speculative, none.speculative);
  SetUnless(json, "long_running", step.long_running, none.long_running);
  SetUnless(json, "filler", step.filler, none.filler);
  SetUnless(json, "required_label", step.required_label, none.required_label);
  SetUnless(json, "data_rack", step.data_rack, none.data_rack);
  SetUnless(json, "max_per_worker", step.max_per_worker, none.max_per_worker);
  SetUnless(json, "image", step.image, none.image);
  SetUnless(json, "latency_target_ms", step.latency_target.count(),
            none.latency_target.count());
  if (step.has_disruption_budget) {
    json["disruption_budget"] = step.disruption_budget;
  }
  return json;
}

/// Reads a member if it is present.
template <typename T>
auto Read(const Json& json, const char* name, T& value) -> void {
  const auto found = json.find(name);
  if (found != json.end()) {
    found->get_to(value);
  }
}

auto ReadTime(const Json& json,
              const char* name,
              std::chrono::milliseconds& value) -> void {
  std::int64_t milliseconds = value.count();
  Read(json, name, milliseconds);
  value = std::chrono::milliseconds(milliseconds);
}

auto DecodeTerms(const Json& json) -> QueueTerms {
  QueueTerms terms;
  terms.priority = json.at("priority").get<int>();
  terms.max_attempts = json.at("max_attempts").get<int>();
  terms.stretch = json.at("stretch").get<double>();
  ReadTime(json, "latency_objective_ms", terms.latency_objective);
  return terms;
}

auto DecodeStep(const Json& json) -> JobStep {
  JobStep step;
  step.count = json.at("count").get<int>();
  Read(json, "millicores", step.size.millicores);
  Read(json, "memory_mb", step.size.memory_mb);
  Read(json, "accelerators", step.size.accelerators);
  ReadTime(json, "estimate_ms", step.estimate);
  Read(json, "after", step.after);
  Read(json, "checkpointing", step.checkpointing);
  Read(json, "gang", step.gang);
  Read(json, "same_rack", step.same_rack);
  Read(json, "speculative", step.speculative);
  Read(json, "long_running", step.long_running);
  Read(json, "filler", step.filler);
  Read(json, "required_label", step.required_label);
  Read(json, "data_rack", step.data_rack);
  Read(json, "max_per_worker", step.max_per_worker);
  Read(json, "image", step.image);
  ReadTime(json, "latency_target_ms", step.latency_target);
  // Earlier versions wrote null for a step without a budget.
  const auto budget = json.find("disruption_budget");
  step.has_disruption_budget = budget != json.end() && !budget->is_null();
  if (step.has_disruption_budget) {
    budget->get_to(step.disruption_budget);
  }
  return step;
}

/// A task without a run is encoded as 0 and a done task as 1, because both are
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
  // Earlier versions of the program know a queue by its name.
  Json json{{"queue", job.queue_name.value},
            {"queue_id", job.queue.value},
            {"spec", job.spec},
            {"steps", std::move(steps)},
            {"repeat_count", job.repeat_count},
            {"first_due_ms", ToMilliseconds(job.first_due)},
            {"interval_ms", job.interval.count()},
            {"accepted_ms", ToMilliseconds(job.accepted_at)}};
  SetUnless(json, "organisation", job.organisation.value, std::string());
  if (job.terms) {
    json["terms"] = EncodeTerms(*job.terms);
  }
  return json.dump();
}

auto DecodeJobRequest(const JobId& id, std::string_view text)
    -> std::optional<JobRequest> {
  try {
    const Json json = Json::parse(text);
    JobRequest job;
    job.id = id;
    job.queue = QueueId(json.value("queue_id", std::string()));
    job.queue_name = QueueName(json.at("queue").get<std::string>());
    job.organisation =
        OrganisationName(json.value("organisation", std::string()));
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
    if (const auto terms = json.find("terms"); terms != json.end()) {
      job.terms = DecodeTerms(*terms);
    }
    return job;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto EncodeJobProgress(const JobProgress& progress,
                       const OrganisationName& organisation) -> std::string {
  Json tasks = Json::array();
  for (const TaskState& task : progress.tasks) {
    tasks.push_back(EncodeTask(task));
  }
  Json json{{"state", static_cast<int>(progress.state)},
            {"tasks", std::move(tasks)}};
  SetUnless(json, "organisation", organisation.value, std::string());
  return json.dump();
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

auto EncodeEndedJob(const EndedJob& ended) -> std::string {
  Json json{{"state", static_cast<int>(ended.state)},
            {"ended_ms", ToMilliseconds(ended.ended_at)}};
  SetUnless(json, "organisation", ended.organisation.value, std::string());
  return json.dump();
}

auto DecodeEndedJob(std::string_view text) -> std::optional<EndedJob> {
  try {
    const Json json = Json::parse(text);
    const auto state = StateFromJson(json);
    if (!state || !IsFinal(*state) || json.contains(kTombstoneMember)) {
      return std::nullopt;
    }
    return EndedJob{
        *state, FromMilliseconds(json.at("ended_ms").get<std::int64_t>()),
        OrganisationName(json.value("organisation", std::string()))};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto DecodeEndedTime(std::string_view text) -> std::optional<WallTime> {
  try {
    return FromMilliseconds(
        Json::parse(text).at("ended_ms").get<std::int64_t>());
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

auto DecodeRowOrganisation(std::string_view text) -> OrganisationName {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return {};
  }
  const auto found = json.find("organisation");
  const bool is_text = found != json.end() && found->is_string();
  return OrganisationName(is_text ? found->get<std::string>() : std::string());
}

auto JobStateName(JobState state) -> std::string_view {
  return kStateNames.at(static_cast<std::size_t>(state));
}

}  // namespace fireflythread
