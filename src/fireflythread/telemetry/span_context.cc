#include "fireflythread/telemetry/span_context.h"

#include <optional>
#include <random>

#include "fireflythread/telemetry/trace_context.h"

namespace fireflythread {

auto StartTrace(std::string_view header, double sample_ratio, Random& random)
    -> SpanContext {
  std::uniform_real_distribution<double> draw(0, 1);
  const bool is_chosen = draw(random) < sample_ratio;
  SpanContext context;
  context.span_id = MakeSpanId(random);
  const std::optional<TraceContext> parent = ParseTraceparent(header);
  if (!parent) {
    context.trace_id = MakeTraceId(random);
    context.sampled = is_chosen;
    return context;
  }
  context.trace_id = parent->trace_id;
  context.parent_id = parent->span_id;
  context.sampled = parent->sampled || is_chosen;
  return context;
}

auto ChildSpan(const SpanContext& parent, Random& random) -> SpanContext {
  return {parent.trace_id, MakeSpanId(random), parent.span_id, parent.sampled};
}

auto TraceparentHeader(const SpanContext& context) -> std::string {
  return FormatTraceparent(
      {context.trace_id, context.span_id, context.sampled});
}

}  // namespace fireflythread
