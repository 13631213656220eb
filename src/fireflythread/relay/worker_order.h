#ifndef FIREFLYTHREAD_RELAY_WORKER_ORDER_H_
#define FIREFLYTHREAD_RELAY_WORKER_ORDER_H_

#include <variant>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/poll_command.h"
#include "fireflythread/jobs/start_command.h"
#include "fireflythread/jobs/stop_command.h"
#include "fireflythread/platform/worker_client.h"

namespace fireflythread {

/// An order to a worker, and the time within which it must be answered.
struct WorkerOrder {
  std::variant<StartCommand, StopCommand, PollCommand> command;
  Duration timeout{0};
};

/// Result of an order. Only a poll order returns a report.
using OrderResult = std::variant<WorkerReport, OrderReply>;

/// Returns the worker that an order is addressed to.
[[nodiscard]] auto WorkerOf(const WorkerOrder& order) -> const WorkerId&;

/// Sends the order through `client`, with `timeout` for the answer.
auto PerformOrder(WorkerClient& client,
                  const WorkerOrder& order,
                  Duration timeout,
                  WorkerClient::ReportCallback callback) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_WORKER_ORDER_H_
