#ifndef FIREFLYTHREAD_TELEMETRY_SPAN_H_
#define FIREFLYTHREAD_TELEMETRY_SPAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/telemetry/log_field.h"
#include "fireflythread/telemetry/log_identity.h"

namespace fireflythread {

/// OpenTelemetry's span kinds that occur here.
enum class SpanKind : std::uint8_t { kInternal, kServer, kClient };

/// One finished hop of a request. Times are wall times.
struct Span {
  std::string trace_id;
  std::string span_id;
  /// Empty for the root of a trace.
  std::string parent_span_id;
  std::string name;
  SpanKind kind = SpanKind::kInternal;
  WallTime start;
  WallTime end;
  std::vector<LogField> attributes;
  bool failed = false;
  /// What failed; empty otherwise.
  std::string status_message;
  /// The entry that recorded it; set by the Tracer.
  LogIdentity origin;
};

/// OpenTelemetry's number of a kind in its JSON encoding.
[[nodiscard]] auto SpanKindNumber(SpanKind kind) -> int;

/// One JSON object in OpenTelemetry's field names (traceId, spanId,
/// parentSpanId, name, kind, startTimeUnixNano, endTimeUnixNano, attributes,
/// status), without a line end. The entry and zone are attributes.
[[nodiscard]] auto FormatSpan(const Span& span) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_SPAN_H_
