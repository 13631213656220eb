#ifndef FIREFLYTHREAD_GATEWAY_TASK_DESK_H_
#define FIREFLYTHREAD_GATEWAY_TASK_DESK_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "fireflythread/gateway/batch_writer.h"
#include "fireflythread/gateway/caller_exchange.h"
#include "fireflythread/gateway/caller_request.h"
#include "fireflythread/gateway/caller_response.h"
#include "fireflythread/gateway/gateway_state.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/tasks/task_record.h"

namespace fireflythread {

/// True for a request to `/s/{service}/tasks` or below, which is about long
/// tasks and goes to no worker.
[[nodiscard]] auto IsTaskRequest(const CallerRequest& request) -> bool;

/// Accepts, shows and cancels long tasks by their rows in the table `task`. The
/// controller does everything else.
///
/// `POST tasks` needs Idempotency-Key, from which the task's id is made, so
/// that a repeat finds the same task; 202 says that its row is written.
/// `GET tasks/ID` gives the row's state. `DELETE tasks/ID` orders the
/// cancellation; 202 says that the order is written.
class TaskDesk {
 public:
  /// A task's input is part of its row.
  static constexpr std::size_t kMaxBody = std::size_t{256} * 1024;

  TaskDesk(GatewayState& state, PlatformClient& platform, BatchWriter& writer);

  auto Accept(CallerRequest request, std::shared_ptr<CallerExchange> exchange)
      -> void;

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;
  using RowCallback = std::function<void(std::optional<TaskRecord>)>;

  [[nodiscard]] auto Check(const CallerRequest& request) const
      -> std::optional<Refusal>;
  auto Submit(const CallPointer& call) -> void;
  auto OnSubmitted(const CallPointer& call,
                   const TaskRecord& task,
                   const TransactionOutcome& outcome) -> void;
  auto AnswerSubmitted(const CallPointer& call,
                       const TaskRecord& wanted,
                       const std::optional<TaskRecord>& found) -> void;
  auto Show(const CallPointer& call) -> void;
  auto Cancel(const CallPointer& call, int tries_left) -> void;
  auto WriteCancel(const CallPointer& call, TaskRecord task, int tries_left)
      -> void;
  /// Reads a task of the call's service; `found` gets none if there is none.
  /// Answers the call itself when the store does not answer; `written` says
  /// whether a write of unknown outcome came before.
  auto ReadTask(const CallPointer& call,
                const TaskId& id,
                bool written,
                RowCallback found) -> void;
  auto AnswerTask(const CallPointer& call, int status, const TaskRecord& task)
      -> void;
  auto Answer(const CallPointer& call, CallerResponse response) -> void;

  GatewayState& state;
  PlatformClient& platform;
  BatchWriter& writer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_TASK_DESK_H_
