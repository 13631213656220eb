#include "fireflythread/daemon/span_message.h"

#include <chrono>
#include <type_traits>
#include <variant>

namespace fireflythread {
namespace {

auto ToNanoseconds(WallTime time) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(
          time.time_since_epoch())
          .count());
}

auto FromNanoseconds(std::uint64_t since_epoch) -> WallTime {
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
      std::chrono::nanoseconds(static_cast<std::int64_t>(since_epoch))));
}

auto SetValue(const LogField::Value& value, peer::TraceAttribute& message)
    -> void {
  std::visit(
      [&message](const auto& held) {
        using Held = std::decay_t<decltype(held)>;
        if constexpr (std::is_same_v<Held, std::string>) {
          message.set_text(held);
        } else if constexpr (std::is_same_v<Held, bool>) {
          message.set_flag(held);
        } else if constexpr (std::is_same_v<Held, double>) {
          message.set_number(held);
        } else {
          message.set_integer(held);
        }
      },
      value);
}

auto AddAttribute(const peer::TraceAttribute& message, Span& span) -> void {
  switch (message.value_case()) {
    case peer::TraceAttribute::kText:
      span.attributes.emplace_back(message.name(), message.text());
      break;
    case peer::TraceAttribute::kInteger:
      span.attributes.emplace_back(message.name(), message.integer());
      break;
    case peer::TraceAttribute::kNumber:
      span.attributes.emplace_back(message.name(), message.number());
      break;
    case peer::TraceAttribute::kFlag:
      span.attributes.emplace_back(message.name(), message.flag());
      break;
    case peer::TraceAttribute::VALUE_NOT_SET:
      break;
  }
}

}  // namespace

auto ToSpanMessage(const Span& span) -> peer::TraceSpan {
  peer::TraceSpan message;
  message.set_trace_id(span.trace_id);
  message.set_span_id(span.span_id);
  message.set_parent_span_id(span.parent_span_id);
  message.set_name(span.name);
  message.set_kind(static_cast<std::uint32_t>(span.kind));
  message.set_start_unix_nano(ToNanoseconds(span.start));
  message.set_end_unix_nano(ToNanoseconds(span.end));
  for (const LogField& field : span.attributes) {
    peer::TraceAttribute& attribute = *message.add_attributes();
    attribute.set_name(field.name);
    SetValue(field.value, attribute);
  }
  message.set_failed(span.failed);
  message.set_status_message(span.status_message);
  message.set_zone(span.origin.zone.value);
  return message;
}

auto FromSpanMessage(const peer::TraceSpan& message, const EntryId& sender)
    -> std::optional<Span> {
  constexpr auto kHighestKind = static_cast<std::uint32_t>(SpanKind::kClient);
  if (message.kind() > kHighestKind ||
      message.end_unix_nano() < message.start_unix_nano()) {
    return std::nullopt;
  }
  Span span;
  span.trace_id = message.trace_id();
  span.span_id = message.span_id();
  span.parent_span_id = message.parent_span_id();
  span.name = message.name();
  span.kind = static_cast<SpanKind>(message.kind());
  span.start = FromNanoseconds(message.start_unix_nano());
  span.end = FromNanoseconds(message.end_unix_nano());
  for (const peer::TraceAttribute& attribute : message.attributes()) {
    AddAttribute(attribute, span);
  }
  span.failed = message.failed();
  span.status_message = message.status_message();
  span.origin = {sender, ZoneName(message.zone())};
  return span;
}

}  // namespace fireflythread
