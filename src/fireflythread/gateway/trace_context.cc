#include "fireflythread/gateway/trace_context.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

namespace fireflythread {

namespace {

// "00-" trace id "-" parent id "-" flags.
constexpr std::size_t kTraceIdAt = 3;
constexpr std::size_t kTraceIdSize = 32;
constexpr std::size_t kParentIdAt = 36;
constexpr std::size_t kParentIdSize = 16;
constexpr std::size_t kFlagsAt = 53;
constexpr std::size_t kHeaderSize = 55;

auto IsId(std::string_view text) -> bool {
  const bool hexadecimal = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  return hexadecimal && text.find_first_not_of('0') != std::string_view::npos;
}

auto NewSpanId(Random& random) -> std::string {
  return fmt::format("{:016x}", random() | 1);
}

}  // namespace

auto StartTrace(std::string_view header, Random& random) -> SpanContext {
  SpanContext context;
  context.span_id = NewSpanId(random);
  const bool taken =
      header.size() == kHeaderSize && header.starts_with("00-") &&
      header[kParentIdAt - 1] == '-' && header[kFlagsAt - 1] == '-' &&
      IsId(header.substr(kTraceIdAt, kTraceIdSize)) &&
      IsId(header.substr(kParentIdAt, kParentIdSize));
  if (!taken) {
    context.trace_id = fmt::format("{:016x}{:016x}", random(), random() | 1);
    return context;
  }
  context.trace_id = header.substr(kTraceIdAt, kTraceIdSize);
  context.parent_id = header.substr(kParentIdAt, kParentIdSize);
  const char flags = header[kHeaderSize - 1];
  context.sampled =
      std::string_view("13579bdf").find(flags) != std::string_view::npos;
  return context;
}

auto ChildSpan(const SpanContext& parent, Random& random) -> SpanContext {
  return {parent.trace_id, NewSpanId(random), parent.span_id, parent.sampled};
}

auto TraceparentHeader(const SpanContext& context) -> std::string {
  return fmt::format("00-{}-{}-{}", context.trace_id, context.span_id,
                     context.sampled ? "01" : "00");
}

}  // namespace fireflythread
