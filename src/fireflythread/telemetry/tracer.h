#ifndef FIREFLYTHREAD_TELEMETRY_TRACER_H_
#define FIREFLYTHREAD_TELEMETRY_TRACER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "fireflythread/base/random.h"
#include "fireflythread/telemetry/log_identity.h"
#include "fireflythread/telemetry/span.h"
#include "fireflythread/telemetry/trace_context.h"
#include "fireflythread/telemetry/trace_ring.h"

namespace fireflythread {

/// Decides which requests are traced and keeps finished spans. A span is a
/// plain struct that its owner fills and hands over once finished.
class Tracer {
 public:
  using Sink = std::function<void(std::string_view line)>;

  /// `sample_ratio` is the share of requests without a sampled parent that are
  /// traced. `sink` gets each finished span as a line; it may be empty.
  Tracer(LogIdentity identity,
         double sample_ratio,
         std::size_t max_spans,
         Sink sink);

  /// The context of this entry's span for a request with this `traceparent`
  /// header, which may be empty or not valid. Keeps the trace id of a valid
  /// one.
  [[nodiscard]] auto Begin(std::string_view traceparent, Random& random) const
      -> TraceContext;

  /// The context of a span within `parent`.
  [[nodiscard]] static auto BeginChild(const TraceContext& parent,
                                       Random& random) -> TraceContext;

  /// Records a finished span if its context is sampled.
  auto Finish(const TraceContext& context, Span span) -> void;

  [[nodiscard]] auto Find(std::string_view trace_id) const -> std::vector<Span>;

 private:
  LogIdentity identity;
  double sample_ratio;
  TraceRing ring;
  Sink sink;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_TRACER_H_
