#include "fireflythread/telemetry/trace_context.h"

#include <fmt/format.h>

#include <algorithm>

namespace fireflythread {
namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// "00-" + trace id + "-" + span id + "-" + two digits of flags.
constexpr std::size_t kHeaderLength = 55;

auto IsHex(std::string_view text) -> bool {
  return std::ranges::all_of(text, [](char c) -> bool {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

auto IsId(std::string_view text, std::size_t digits) -> bool {
  return text.size() == digits && IsHex(text) &&
         text.find_first_not_of('0') != std::string_view::npos;
}

auto DrawNonZero(Random& random) -> std::uint64_t {
  std::uint64_t value = 0;
  while (value == 0) {
    value = random();
  }
  return value;
}

auto LowBitIsSet(char hex_digit) -> bool {
  const int value = hex_digit <= '9' ? hex_digit - '0' : hex_digit - 'a' + 10;
  return value % 2 == 1;
}

}  // namespace

auto ParseTraceparent(std::string_view header) -> std::optional<TraceContext> {
  if (header.size() < kHeaderLength) {
    return std::nullopt;
  }
  const std::string_view version = header.substr(0, 2);
  const std::string_view trace_id = header.substr(3, kTraceIdDigits);
  const std::string_view span_id = header.substr(36, kSpanIdDigits);
  const std::string_view flags = header.substr(53, 2);
  const bool has_more = header.size() > kHeaderLength;
  const bool is_valid =
      IsHex(version) && version != "ff" && header[2] == '-' &&
      IsId(trace_id, kTraceIdDigits) && header[35] == '-' &&
      IsId(span_id, kSpanIdDigits) && header[52] == '-' && IsHex(flags) &&
      (!has_more || (version != "00" && header[kHeaderLength] == '-'));
  if (!is_valid) {
    return std::nullopt;
  }
  return TraceContext{std::string(trace_id), std::string(span_id),
                      LowBitIsSet(flags[1])};
}

auto FormatTraceparent(const TraceContext& context) -> std::string {
  return fmt::format("00-{}-{}-{}", context.trace_id, context.span_id,
                     context.sampled ? "01" : "00");
}

auto IsTraceId(std::string_view text) -> bool {
  return IsId(text, kTraceIdDigits);
}

auto MakeTraceId(Random& random) -> std::string {
  return fmt::format("{:016x}{:016x}", DrawNonZero(random), random());
}

auto MakeSpanId(Random& random) -> std::string {
  return fmt::format("{:016x}", DrawNonZero(random));
}

}  // namespace fireflythread
