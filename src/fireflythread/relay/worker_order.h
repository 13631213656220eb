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

/// Any order to a worker and the time in which it has to be answered.
struct WorkerOrder {
  std::variant<StartCommand, StopCommand, PollCommand> command;
  Duration timeout{0};
};

/// What came of an order. Only a hold has a report.
using OrderResult = std::variant<WorkerReport, OrderReply>;

/// The worker that an order is for.
[[nodiscard]] auto WorkerOf(const WorkerOrder& order) -> const WorkerId&;

/// Hands the order to a client, to be answered within `timeout`.
auto PerformOrder(WorkerClient& client,
                  const WorkerOrder& order,
                  Duration timeout,
                  WorkerClient::ReportCallback callback) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_WORKER_ORDER_H_
