#include "fireflythread/daemon/gateway_telemetry.h"

#include <chrono>
#include <string>
#include <utility>

#include "fireflythread/gateway/gateway_events.h"
#include "fireflythread/telemetry/counter.h"
#include "fireflythread/telemetry/latency_histogram.h"
#include "fireflythread/telemetry/log_record.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"
#include "fireflythread/telemetry/span.h"
#include "fireflythread/telemetry/span_context.h"
#include "fireflythread/telemetry/tracer.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "gateway";

auto MillisOf(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// A span that ended just now and took `elapsed`.
auto SpanOf(const SpanContext& context, std::string name, Duration elapsed)
    -> Span {
  Span span;
  span.trace_id = context.trace_id;
  span.span_id = context.span_id;
  span.parent_span_id = context.parent_id;
  span.name = std::move(name);
  span.end = std::chrono::system_clock::now();
  span.start =
      span.end - std::chrono::duration_cast<WallTime::duration>(elapsed);
  return span;
}

auto Finish(Tracer& tracer, const SpanContext& context, Span span) -> void {
  tracer.Finish(context, std::move(span));
}

auto RecordRequest(const RequestFinished& event,
                   Tracer& tracer,
                   MetricsRegistry& metrics) -> void {
  const std::string outcome(RequestOutcomeName(event.outcome));
  const std::string request_class(RequestClassName(event.request_class));
  metrics
      .GetCounter("fireflythread_requests_total",
                  "Requests answered to callers, by outcome.",
                  {{"service", event.service.value},
                   {"class", request_class},
                   {"outcome", outcome}})
      .Add();
  if (event.outcome == RequestOutcome::kNotRun) {
    metrics
        .GetCounter("fireflythread_not_run_total",
                    "Requests answered as not run, by reason.",
                    {{"reason", event.reason}})
        .Add();
  }
  metrics
      .GetHistogram("fireflythread_request_seconds",
                    "Time from a request's arrival to its answer.",
                    {{"class", request_class}})
      .Observe(event.elapsed);
  if (!event.trace.sampled) {
    return;
  }
  Span span = SpanOf(event.trace, "request", event.elapsed);
  span.kind = SpanKind::kServer;
  span.attributes = {{"service", event.service.value},
                     {"request_id", event.request_id},
                     {"http.response.status_code", event.status},
                     {"outcome", outcome},
                     {"attempts", event.attempts},
                     {"in_time", event.in_time}};
  span.failed = event.outcome != RequestOutcome::kAnswered;
  span.status_message = event.reason;
  Finish(tracer, event.trace, std::move(span));
}

auto RecordQueue(const QueueLeft& event,
                 Tracer& tracer,
                 MetricsRegistry& metrics) -> void {
  metrics
      .GetHistogram(
          "fireflythread_queue_seconds",
          "Time that a request waited in its pool's queue.",
          {{"class", std::string(RequestClassName(event.request_class))}})
      .Observe(event.waited);
  if (!event.trace.sampled) {
    return;
  }
  Span span = SpanOf(event.trace, "queue", event.waited);
  span.attributes = {{"pool", event.pool}};
  span.failed = !event.refused.empty();
  span.status_message = event.refused;
  Finish(tracer, event.trace, std::move(span));
}

auto RecordAttempt(const AttemptFinished& event,
                   Tracer& tracer,
                   MetricsRegistry& metrics) -> void {
  const std::string result(AttemptResultName(event.result));
  metrics
      .GetCounter("fireflythread_attempts_total",
                  "Attempts sent to backend servers, by result.",
                  {{"pool", event.pool.value}, {"result", result}})
      .Add();
  if (!event.trace.sampled) {
    return;
  }
  Span span = SpanOf(event.trace, "attempt", event.elapsed);
  span.kind = SpanKind::kClient;
  span.attributes = {{"vm", event.vm},
                     {"pool", event.pool},
                     {"number", event.number},
                     {"hedge", event.hedge},
                     {"http.response.status_code", event.status},
                     {"result", result}};
  span.failed = event.result != AttemptResult::kAnswered;
  span.status_message = event.reason;
  Finish(tracer, event.trace, std::move(span));
}

auto LogAttempt(const AttemptFinished& event, const Logger& logger) -> void {
  if (event.result == AttemptResult::kAnswered ||
      !logger.IsEnabled(LogLevel::kWarning)) {
    return;
  }
  LogRecord record;
  record.level = LogLevel::kWarning;
  record.component = kComponent;
  record.event = "attempt_failed";
  record.request_id = event.request_id;
  record.trace_id = event.trace.trace_id;
  record.fields = {{"vm", event.vm},
                   {"result", AttemptResultName(event.result)},
                   {"reason", event.reason},
                   {"elapsed_ms", MillisOf(event.elapsed)}};
  logger.Write(record);
}

auto LevelOf(GatewayLogLevel level) -> LogLevel {
  switch (level) {
    case GatewayLogLevel::kInfo:
      return LogLevel::kInfo;
    case GatewayLogLevel::kWarning:
      return LogLevel::kWarning;
    case GatewayLogLevel::kError:
      break;
  }
  return LogLevel::kError;
}

}  // namespace

auto MakeGatewayObserver(const Logger& logger,
                         Tracer& tracer,
                         MetricsRegistry& metrics) -> GatewayObserver {
  GatewayObserver observer;
  observer.request_finished = [&](const RequestFinished& event) {
    RecordRequest(event, tracer, metrics);
  };
  observer.queue_left = [&](const QueueLeft& event) {
    RecordQueue(event, tracer, metrics);
  };
  observer.attempt_finished = [&](const AttemptFinished& event) {
    RecordAttempt(event, tracer, metrics);
    LogAttempt(event, logger);
  };
  observer.worker_ejected = [&](const WorkerChange& event) {
    logger.Warning(
        kComponent, "worker_ejected",
        {{"vm", event.vm}, {"pool", event.pool}, {"reason", event.reason}});
  };
  observer.worker_readmitted = [&](const WorkerChange& event) {
    logger.Info(kComponent, "worker_readmitted",
                {{"vm", event.vm}, {"pool", event.pool}});
  };
  observer.log = [&](const GatewayLog& event) {
    LogRecord record;
    record.level = LevelOf(event.level);
    record.component = kComponent;
    record.event = "gateway_message";
    record.fields = {{"message", event.message}};
    logger.Write(record);
  };
  return observer;
}

}  // namespace fireflythread
