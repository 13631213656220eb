#ifndef FIREFLYTHREAD_TELEMETRY_TRACE_CONTEXT_H_
#define FIREFLYTHREAD_TELEMETRY_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/random.h"

namespace fireflythread {

/// The W3C trace context of one hop: 32 and 16 lower-case hexadecimal digits,
/// neither all zero.
struct TraceContext {
  std::string trace_id;
  std::string span_id;
  bool sampled = false;

  auto operator==(const TraceContext&) const -> bool = default;
};

/// Reads a `traceparent` header; no value when it is not valid. Versions after
/// 00 are read by their first four fields, as the W3C specification asks.
[[nodiscard]] auto ParseTraceparent(std::string_view header)
    -> std::optional<TraceContext>;

/// The `traceparent` header, version 00.
[[nodiscard]] auto FormatTraceparent(const TraceContext& context)
    -> std::string;

[[nodiscard]] auto IsTraceId(std::string_view text) -> bool;

/// Draws ids that are not zero.
[[nodiscard]] auto MakeTraceId(Random& random) -> std::string;
[[nodiscard]] auto MakeSpanId(Random& random) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_TRACE_CONTEXT_H_
