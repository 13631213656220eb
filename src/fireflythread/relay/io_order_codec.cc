#include "fireflythread/relay/io_order_codec.h"

#include <chrono>
#include <utility>

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

auto EncodeTask(const TaskName& task, peer::RelayedTask& message) -> void {
  message.set_job(task.job.value);
  message.set_occurrence(task.occurrence);
  message.set_step(task.step);
  message.set_index(task.index);
}

auto DecodeTask(const peer::RelayedTask& message) -> TaskName {
  return {JobId(message.job()), message.occurrence(), message.step(),
          message.index()};
}

auto EncodeCommand(const StartCommand& start, peer::RelayedOrder& order)
    -> void {
  peer::RelayedStart& message = *order.mutable_start();
  message.set_worker(start.worker.value);
  message.set_address(start.address);
  EncodeTask(start.task, *message.mutable_task());
  message.set_run(start.run);
  message.set_spec(start.spec);
  message.set_deadline_ms(start.deadline.count());
  message.set_fence(start.fence);
  message.set_checkpoint(start.checkpoint);
  message.set_ticket(start.ticket);
}

auto EncodeCommand(const StopCommand& stop, peer::RelayedOrder& order) -> void {
  peer::RelayedStop& message = *order.mutable_stop();
  message.set_worker(stop.worker.value);
  message.set_address(stop.address);
  EncodeTask(stop.task, *message.mutable_task());
  message.set_run(stop.run);
  message.set_fence(stop.fence);
}

auto EncodeCommand(const PollCommand& hold, peer::RelayedOrder& order) -> void {
  peer::RelayedHold& message = *order.mutable_hold();
  message.set_worker(hold.worker.value);
  message.set_address(hold.address);
  message.set_fence(hold.fence);
  message.set_last_seen(hold.last_seen);
  if (hold.deadline) {
    message.set_deadline_ms(hold.deadline->count());
  }
  message.set_wait_ms(hold.wait.count());
}

auto DecodeStart(const peer::RelayedStart& message) -> StartCommand {
  StartCommand start;
  start.worker = WorkerId(message.worker());
  start.address = message.address();
  start.task = DecodeTask(message.task());
  start.run = message.run();
  start.spec = message.spec();
  start.deadline = milliseconds(message.deadline_ms());
  start.fence = message.fence();
  start.checkpoint = message.checkpoint();
  start.ticket = message.ticket();
  return start;
}

auto DecodeStop(const peer::RelayedStop& message) -> StopCommand {
  return {WorkerId(message.worker()), message.address(),
          DecodeTask(message.task()), message.run(), message.fence()};
}

auto DecodePoll(const peer::RelayedHold& message) -> PollCommand {
  PollCommand hold;
  hold.worker = WorkerId(message.worker());
  hold.address = message.address();
  hold.fence = message.fence();
  hold.last_seen = message.last_seen();
  if (message.has_deadline_ms()) {
    hold.deadline = milliseconds(message.deadline_ms());
  }
  hold.wait = milliseconds(message.wait_ms());
  return hold;
}

auto EncodeReply(const OrderReply& reply, peer::RelayedReply& message) -> void {
  message.set_verdict(static_cast<std::uint32_t>(reply.verdict));
  if (reply.clock) {
    message.set_clock_ms(reply.clock->count());
  }
  message.set_reason(reply.reason);
}

auto EncodeReport(const WorkerReport& report, peer::RelayedReport& message)
    -> void {
  message.set_clock_ms(report.clock.count());
  message.set_born_ms(report.started_at.count());
  message.set_incomplete(!report.complete);
  for (const RunningRun& run : report.running) {
    peer::RelayedRunning& running = *message.add_running();
    EncodeTask(run.task, *running.mutable_task());
    running.set_run(run.run);
    running.set_checkpoint(run.checkpoint);
    running.set_percent(run.percent);
    running.set_usage(run.usage);
  }
  for (const RunCompletion& run : report.ended) {
    peer::RelayedEnded& ended = *message.add_ended();
    ended.set_number(run.number);
    EncodeTask(run.task, *ended.mutable_task());
    ended.set_run(run.run);
    ended.set_end(static_cast<std::uint32_t>(run.end));
    ended.set_checkpoint(run.checkpoint);
  }
}

auto DecodeReply(const peer::RelayedReply& message) -> OrderReply {
  OrderReply reply;
  // kNotSent is the last enumerator, so higher values come from a newer version
  // and leave the default verdict, kUnknown.
  if (message.verdict() <= static_cast<std::uint32_t>(OrderVerdict::kNotSent)) {
    reply.verdict = static_cast<OrderVerdict>(message.verdict());
  }
  if (message.has_clock_ms()) {
    reply.clock = milliseconds(message.clock_ms());
  }
  reply.reason = message.reason();
  return reply;
}

auto DecodeRunning(const peer::RelayedRunning& message) -> RunningRun {
  return {DecodeTask(message.task()), message.run(), message.checkpoint(),
          message.percent(), message.usage()};
}

auto DecodeEnded(const peer::RelayedEnded& message)
    -> std::optional<RunCompletion> {
  if (message.end() > static_cast<std::uint32_t>(RunResult::kGangIncomplete)) {
    return std::nullopt;
  }
  return RunCompletion{message.number(), DecodeTask(message.task()),
                       message.run(), static_cast<RunResult>(message.end()),
                       message.checkpoint()};
}

auto DecodeReport(const peer::RelayedReport& message) -> OrderResult {
  WorkerReport report;
  report.clock = milliseconds(message.clock_ms());
  report.started_at = milliseconds(message.born_ms());
  report.complete = !message.incomplete();
  for (const peer::RelayedRunning& running : message.running()) {
    report.running.push_back(DecodeRunning(running));
  }
  for (const peer::RelayedEnded& run : message.ended()) {
    auto ended = DecodeEnded(run);
    if (!ended) {
      // A report that lacks one of its completions would make that run appear
      // lost.
      return OrderReply{OrderVerdict::kUnknown, std::nullopt,
                        "unreadable relayed report"};
    }
    report.ended.push_back(*std::move(ended));
  }
  return report;
}

}  // namespace

auto EncodeOrder(const WorkerOrder& order, peer::RelayedOrder& message)
    -> void {
  message.set_timeout_ns(order.timeout.count());
  std::visit(
      [&message](const auto& command) -> void {
        EncodeCommand(command, message);
      },
      order.command);
}

auto DecodeOrder(const peer::RelayedOrder& message)
    -> std::optional<WorkerOrder> {
  const Duration timeout(message.timeout_ns());
  switch (message.command_case()) {
    case peer::RelayedOrder::kStart:
      return WorkerOrder{DecodeStart(message.start()), timeout};
    case peer::RelayedOrder::kStop:
      return WorkerOrder{DecodeStop(message.stop()), timeout};
    case peer::RelayedOrder::kHold:
      return WorkerOrder{DecodePoll(message.hold()), timeout};
    default:
      return std::nullopt;
  }
}

auto EncodeResult(const OrderResult& result, peer::RelayedAnswer& message)
    -> void {
  if (const auto* report = std::get_if<WorkerReport>(&result)) {
    EncodeReport(*report, *message.mutable_report());
  } else {
    EncodeReply(std::get<OrderReply>(result), *message.mutable_reply());
  }
}

auto DecodeResult(const peer::RelayedAnswer& message) -> OrderResult {
  switch (message.outcome_case()) {
    case peer::RelayedAnswer::kReply:
      return DecodeReply(message.reply());
    case peer::RelayedAnswer::kReport:
      return DecodeReport(message.report());
    default:
      return OrderReply{OrderVerdict::kUnknown, std::nullopt,
                        "unreadable relayed reply"};
  }
}

}  // namespace fireflythread
