#ifndef FIREFLYTHREAD_PLATFORM_WORKER_CLIENT_H_
#define FIREFLYTHREAD_PLATFORM_WORKER_CLIENT_H_

#include <functional>
#include <variant>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/jobs/pace_command.h"
#include "fireflythread/jobs/poll_command.h"
#include "fireflythread/jobs/start_command.h"
#include "fireflythread/jobs/stop_command.h"
#include "fireflythread/jobs/worker_report.h"

namespace fireflythread {

/// The orders that workers take. Calls return at once; callbacks run later,
/// exactly once, on the main loop. No order is sent twice.
class WorkerClient {
 public:
  using OrderCallback = std::function<void(OrderReply)>;
  /// A report, or why there is none.
  using ReportCallback =
      std::function<void(std::variant<WorkerReport, OrderReply>)>;

  virtual ~WorkerClient() = default;

  virtual auto Start(const StartCommand& start,
                     Duration timeout,
                     OrderCallback callback) -> void = 0;
  virtual auto Stop(const StopCommand& stop,
                    Duration timeout,
                    OrderCallback callback) -> void = 0;
  virtual auto SetPace(const PaceCommand& pace,
                       Duration timeout,
                       OrderCallback callback) -> void = 0;
  virtual auto Poll(const PollCommand& hold,
                    Duration timeout,
                    ReportCallback callback) -> void = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_WORKER_CLIENT_H_
