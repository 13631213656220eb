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
#include "fireflythread/telemetry/span_context.h"
#include "fireflythread/telemetry/trace_ring.h"

namespace fireflythread {

/// Keeps the finished spans of sampled requests. A span is a plain struct that
/// its owner fills and hands over once finished.
class Tracer {
 public:
  using Sink = std::function<void(std::string_view line)>;

  /// `sink` gets each finished span as a line; it may be empty.
  Tracer(LogIdentity identity, std::size_t max_spans, Sink sink);

  /// Records a finished span if its context is sampled.
  auto Finish(const SpanContext& context, Span span) -> void;

  [[nodiscard]] auto Find(std::string_view trace_id) const -> std::vector<Span>;

 private:
  LogIdentity identity;
  TraceRing ring;
  Sink sink;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_TRACER_H_
