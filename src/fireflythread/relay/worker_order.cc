#include "fireflythread/relay/worker_order.h"

#include <utility>

namespace fireflythread {

auto WorkerOf(const WorkerOrder& order) -> const WorkerId& {
  return std::visit(
      [](const auto& command) -> const WorkerId& { return command.worker; },
      order.command);
}

auto PerformOrder(WorkerClient& client,
                  const WorkerOrder& order,
                  Duration timeout,
                  WorkerClient::ReportCallback callback) -> void {
  if (const auto* poll = std::get_if<PollCommand>(&order.command)) {
    client.Poll(*poll, timeout, std::move(callback));
    return;
  }
  auto deliver = [done = std::move(callback)](OrderReply reply) -> void {
    done(std::move(reply));
  };
  if (const auto* start = std::get_if<StartCommand>(&order.command)) {
    client.Start(*start, timeout, std::move(deliver));
  } else {
    client.Stop(std::get<StopCommand>(order.command), timeout,
                std::move(deliver));
  }
}

}  // namespace fireflythread
