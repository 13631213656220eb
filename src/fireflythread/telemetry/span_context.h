#ifndef FIREFLYTHREAD_TELEMETRY_SPAN_CONTEXT_H_
#define FIREFLYTHREAD_TELEMETRY_SPAN_CONTEXT_H_

#include <string>
#include <string_view>

#include "fireflythread/base/random.h"

namespace fireflythread {

/// A span in the W3C trace context, with ids in lower-case hexadecimal.
/// `parent_id` is empty for the first span of a trace.
struct SpanContext {
  std::string trace_id;
  std::string span_id;
  std::string parent_id;
  bool sampled = false;
};

/// Starts a span below the `traceparent` header of a caller, or a new trace
/// if the header is empty or malformed, as the W3C recommendation asks. It is
/// sampled if the caller's is, and otherwise with the probability
/// `sample_ratio` (0 to 1).
[[nodiscard]] auto StartTrace(std::string_view traceparent,
                              double sample_ratio,
                              Random& random) -> SpanContext;

/// Starts a span below another one.
[[nodiscard]] auto ChildSpan(const SpanContext& parent, Random& random)
    -> SpanContext;

/// The `traceparent` header that makes `context` the receiver's parent.
[[nodiscard]] auto TraceparentHeader(const SpanContext& context) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_SPAN_CONTEXT_H_
