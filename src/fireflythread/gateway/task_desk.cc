#include "fireflythread/gateway/task_desk.h"

#include <fmt/format.h>
#include <glib.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/tasks/task_codec.h"

namespace fireflythread {

namespace {

constexpr std::string_view kTasksPath = "/tasks";
constexpr int kAccepted = 202;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// A cancellation races with the controller's writes of the same row.
constexpr int kCancelTries = 4;

/// The same for every repeat of a request with its key.
auto TaskIdOf(const CallerRequest& request) -> TaskId {
  const std::string text = request.service.value + "/" + request.key;
  const std::unique_ptr<gchar, decltype(&g_free)> digest(
      g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(), -1),
      g_free);
  constexpr std::size_t kIdDigits = 32;
  return TaskId("t-" + std::string(digest.get(), kIdDigits));
}

/// The id in the path; empty for `/tasks` itself.
auto IdInPath(const CallerRequest& request) -> std::string {
  const std::string path = request.target.substr(0, request.target.find('?'));
  return path.size() > kTasksPath.size() + 1
             ? path.substr(kTasksPath.size() + 1)
             : "";
}

auto IsSameTask(const TaskRecord& left, const TaskRecord& right) -> bool {
  return left.service == right.service && left.body == right.body &&
         left.cores == right.cores && left.memory_mb == right.memory_mb;
}

auto NewTask(const CallerRequest& request) -> TaskRecord {
  TaskRecord task;
  task.id = TaskIdOf(request);
  task.service = request.service;
  task.cores = request.cores;
  task.memory_mb = request.memory_mb;
  task.body = request.body;
  task.submitted_at_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return task;
}

auto TaskTransaction(const TaskRecord& task, std::uint64_t version)
    -> Transaction {
  const std::string table(kTaskTable);
  return {fmt::format("{}/{}", task.id.value, version),
          {{table, task.id.value, version}},
          {{table, task.id.value, EncodeTaskRecord(task)}}};
}

}  // namespace

struct TaskDesk::Call {
  CallerRequest request;
  std::shared_ptr<CallerExchange> exchange;
  SpanContext trace;
  TimePoint started;
};

auto IsTaskRequest(const CallerRequest& request) -> bool {
  const std::string path = request.target.substr(0, request.target.find('?'));
  return path == kTasksPath || path.starts_with("/tasks/");
}

TaskDesk::TaskDesk(GatewayState& gateway_state,
                   PlatformClient& platform_client,
                   BatchWriter& batch_writer)
    : state(gateway_state), platform(platform_client), writer(batch_writer) {}

auto TaskDesk::Accept(CallerRequest request,
                      std::shared_ptr<CallerExchange> exchange) -> void {
  auto call = std::make_shared<Call>();
  call->trace =
      StartTrace(request.traceparent, this->state.settings.sample_ratio,
                 this->state.random);
  call->request = std::move(request);
  call->exchange = std::move(exchange);
  call->started = ReadBootClock();
  const std::string& method = call->request.method;
  const bool has_id = !IdInPath(call->request).empty();
  if (const auto refusal = this->Check(call->request)) {
    this->Answer(call, RefusalResponse(*refusal));
  } else if (method == "POST" && !has_id) {
    this->Submit(call);
  } else if (method == "GET" && has_id) {
    this->Show(call);
  } else if (method == "DELETE" && has_id) {
    this->Cancel(call, kCancelTries);
  } else {
    this->Answer(call, RefusalResponse({RefusalReason::kMalformed,
                                        "no such operation on tasks"}));
  }
}

auto TaskDesk::Check(const CallerRequest& request) const
    -> std::optional<Refusal> {
  if (this->state.shutting_down) {
    return Refusal{RefusalReason::kShuttingDown, "the entry is stopping"};
  }
  if (!this->state.config) {
    return Refusal{RefusalReason::kNotReady, "no control state yet"};
  }
  const auto service = this->state.config->services.find(request.service);
  if (service == this->state.config->services.end()) {
    return Refusal{RefusalReason::kUnknownService, "no such service"};
  }
  if (ReadBootClock() >= this->state.confirmed_until) {
    return Refusal{RefusalReason::kNotFresh, "control state not confirmed"};
  }
  if (request.method != "POST") {
    return std::nullopt;
  }
  if (request.key.empty()) {
    return Refusal{RefusalReason::kKeyMissing, "a task needs Idempotency-Key"};
  }
  if (request.body.size() > kMaxBody) {
    return Refusal{RefusalReason::kBodyTooLarge,
                   "the task's input is too large"};
  }
  if (g_utf8_validate(request.body.data(),
                      static_cast<gssize>(request.body.size()),
                      nullptr) == FALSE) {
    return Refusal{RefusalReason::kMalformed, "the task's input is not UTF-8"};
  }
  const auto pool = this->state.pools.find(service->second.pool);
  if (pool != this->state.pools.end() && pool->second.largest_cores > 0 &&
      (request.cores > pool->second.largest_cores ||
       request.memory_mb > pool->second.largest_memory_mb)) {
    return Refusal{RefusalReason::kSizeFitsNoWorker,
                   "no worker of the pool is as large as the task"};
  }
  return std::nullopt;
}

auto TaskDesk::Submit(const CallPointer& call) -> void {
  const TaskRecord task = NewTask(call->request);
  this->writer.Submit(TaskTransaction(task, 0),
                      [this, call, task](const TransactionOutcome& outcome) {
                        this->OnSubmitted(call, task, outcome);
                      });
}

auto TaskDesk::OnSubmitted(const CallPointer& call,
                           const TaskRecord& task,
                           const TransactionOutcome& outcome) -> void {
  if (std::holds_alternative<Committed>(outcome)) {
    this->AnswerTask(call, kAccepted, task);
  } else if (const auto* failed = std::get_if<NotCommitted>(&outcome)) {
    this->Answer(
        call, RefusalResponse({RefusalReason::kNotRecorded, failed->reason}));
  } else {
    // Somebody wrote the row: an earlier request with the key, or this one.
    this->ReadTask(call, task.id, true,
                   [this, call, task](const std::optional<TaskRecord>& found) {
                     this->AnswerSubmitted(call, task, found);
                   });
  }
}

auto TaskDesk::AnswerSubmitted(const CallPointer& call,
                               const TaskRecord& wanted,
                               const std::optional<TaskRecord>& found) -> void {
  if (!found) {
    // The write may still arrive; a repeat with the same key tells.
    this->Answer(call, UnknownResponse(false, "the task may be accepted yet"));
  } else if (!IsSameTask(*found, wanted)) {
    this->Answer(call, RefusalResponse({RefusalReason::kKeyReused,
                                        "another task has used this key"}));
  } else {
    this->AnswerTask(call, kAccepted, *found);
  }
}

auto TaskDesk::Show(const CallPointer& call) -> void {
  this->ReadTask(
      call, TaskId(IdInPath(call->request)), false,
      [this, call](const std::optional<TaskRecord>& found) {
        if (found) {
          this->AnswerTask(call, kOk, *found);
        } else {
          this->Answer(
              call,
              {kNotFound, RequestOutcome::kAnswered, "no-such-task", {}, ""});
        }
      });
}

auto TaskDesk::Cancel(const CallPointer& call, int tries_left) -> void {
  this->ReadTask(
      call, TaskId(IdInPath(call->request)), tries_left < kCancelTries,
      [this, call, tries_left](std::optional<TaskRecord> found) {
        if (!found) {
          this->Answer(
              call,
              {kNotFound, RequestOutcome::kAnswered, "no-such-task", {}, ""});
        } else if (IsFinal(found->state)) {
          this->AnswerTask(call, kOk, *found);
        } else if (found->state == TaskState::kCancelling) {
          this->AnswerTask(call, kAccepted, *found);
        } else {
          this->WriteCancel(call, std::move(*found), tries_left);
        }
      });
}

auto TaskDesk::WriteCancel(const CallPointer& call,
                           TaskRecord task,
                           int tries_left) -> void {
  const std::uint64_t version = task.version;
  task.state = TaskState::kCancelling;
  this->writer.Submit(
      TaskTransaction(task, version),
      [this, call, task, tries_left](const TransactionOutcome& outcome) {
        if (std::holds_alternative<Committed>(outcome)) {
          this->AnswerTask(call, kAccepted, task);
        } else if (const auto* failed = std::get_if<NotCommitted>(&outcome)) {
          this->Answer(call, RefusalResponse({RefusalReason::kNotRecorded,
                                              failed->reason}));
        } else if (tries_left > 1) {
          this->Cancel(call, tries_left - 1);
        } else {
          this->Answer(call, UnknownResponse(
                                 false, "the cancellation may be written yet"));
        }
      });
}

auto TaskDesk::ReadTask(const CallPointer& call,
                        const TaskId& id,
                        bool written,
                        RowCallback found) -> void {
  this->platform.Read(
      std::string(kTaskTable), id.value, this->state.settings.store_timeout,
      [this, token = std::weak_ptr<bool>(this->alive), call, written,
       found](const std::variant<std::optional<Row>, PlatformError>& result) {
        if (token.expired()) {
          return;
        }
        const auto* row = std::get_if<std::optional<Row>>(&result);
        if (row == nullptr) {
          this->Answer(
              call, written ? UnknownResponse(true, "the store is unavailable")
                            : RefusalResponse({RefusalReason::kNotReady,
                                               "the store is unavailable"}));
          return;
        }
        std::optional<TaskRecord> task;
        if (*row) {
          const auto decoded = DecodeTaskRecord(**row);
          if (const auto* record = std::get_if<TaskRecord>(&decoded);
              record != nullptr && record->service == call->request.service) {
            task = *record;
          }
        }
        found(std::move(task));
      });
}

auto TaskDesk::AnswerTask(const CallPointer& call,
                          int status,
                          const TaskRecord& task) -> void {
  CallerResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  const nlohmann::json body = {{"id", task.id.value},
                               {"state", TaskStateName(task.state)},
                               {"result", task.result},
                               {"reason", task.reason}};
  response.body = body.dump();
  this->Answer(call, std::move(response));
}

auto TaskDesk::Answer(const CallPointer& call, CallerResponse response)
    -> void {
  RequestFinished event;
  event.trace = call->trace;
  event.service = call->request.service;
  event.team = call->request.team;
  event.outcome = response.outcome;
  event.status = response.status;
  event.reason = response.reason;
  event.started = call->started;
  event.elapsed = ReadBootClock() - call->started;
  event.in_time = response.outcome == RequestOutcome::kAnswered;
  Notify(this->state.observer.request_finished, event);
  call->exchange->Answer(std::move(response));
}

}  // namespace fireflythread
