#include "fireflythread/telemetry/tracer.h"

#include <utility>

namespace fireflythread {

Tracer::Tracer(LogIdentity log_identity, std::size_t max_spans, Sink span_sink)
    : identity(std::move(log_identity)),
      ring(max_spans),
      sink(std::move(span_sink)) {}

auto Tracer::Finish(const SpanContext& context, Span span) -> void {
  if (!context.sampled) {
    return;
  }
  span.trace_id = context.trace_id;
  span.span_id = context.span_id;
  span.parent_span_id = context.parent_id;
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
