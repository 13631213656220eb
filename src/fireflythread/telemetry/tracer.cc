#include "fireflythread/telemetry/tracer.h"

#include <utility>

namespace fireflythread {

Tracer::Tracer(LogIdentity log_identity,
               double ratio,
               std::size_t max_spans,
               Sink span_sink)
    : identity(std::move(log_identity)),
      sample_ratio(ratio),
      ring(max_spans),
      sink(std::move(span_sink)) {}

auto Tracer::Begin(std::string_view traceparent, Random& random) const
    -> TraceContext {
  std::uniform_real_distribution<double> draw(0, 1);
  const bool is_chosen = draw(random) < this->sample_ratio;
  if (auto parent = ParseTraceparent(traceparent)) {
    parent->span_id = MakeSpanId(random);
    parent->sampled = parent->sampled || is_chosen;
    return *parent;
  }
  return TraceContext{MakeTraceId(random), MakeSpanId(random), is_chosen};
}

auto Tracer::BeginChild(const TraceContext& parent, Random& random)
    -> TraceContext {
  return TraceContext{parent.trace_id, MakeSpanId(random), parent.sampled};
}

auto Tracer::Finish(const TraceContext& context, Span span) -> void {
  if (!context.sampled) {
    return;
  }
  span.trace_id = context.trace_id;
  span.span_id = context.span_id;
  span.origin = this->identity;
  if (this->sink) {
    this->sink(FormatSpan(span));
  }
  this->ring.Add(std::move(span));
}

auto Tracer::Find(std::string_view trace_id) const -> std::vector<Span> {
  return this->ring.Find(trace_id);
}

}  // namespace fireflythread
