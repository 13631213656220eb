#include "fireflythread/telemetry/span.h"

#include <nlohmann/json.hpp>

namespace fireflythread {
namespace {

using Json = nlohmann::ordered_json;

// OpenTelemetry's JSON encoding writes 64-bit integers as text.
auto ValueToJson(const std::string& value) -> Json {
  return {{"stringValue", value}};
}
auto ValueToJson(std::int64_t value) -> Json {
  return {{"intValue", std::to_string(value)}};
}
auto ValueToJson(double value) -> Json {
  return {{"doubleValue", value}};
}
auto ValueToJson(bool value) -> Json {
  return {{"boolValue", value}};
}

auto AttributeToJson(const LogField& field) -> Json {
  return {
      {"key", field.name},
      {"value",
       std::visit([](const auto& value) -> Json { return ValueToJson(value); },
                  field.value)}};
}

auto UnixNanoseconds(WallTime time) -> std::string {
  const auto since = std::chrono::duration_cast<std::chrono::nanoseconds>(
      time.time_since_epoch());
  return std::to_string(since.count());
}

// STATUS_CODE_OK and STATUS_CODE_ERROR.
auto StatusToJson(const Span& span) -> Json {
  Json status{{"code", span.failed ? 2 : 1}};
  if (!span.status_message.empty()) {
    status["message"] = span.status_message;
  }
  return status;
}

}  // namespace

auto SpanKindNumber(SpanKind kind) -> int {
  return static_cast<int>(kind) + 1;
}

auto FormatSpan(const Span& span) -> std::string {
  Json attributes = Json::array();
  attributes.push_back(
      AttributeToJson(LogField("service.instance.id", span.origin.entry)));
  attributes.push_back(
      AttributeToJson(LogField("cloud.availability_zone", span.origin.zone)));
  for (const LogField& attribute : span.attributes) {
    attributes.push_back(AttributeToJson(attribute));
  }
  const Json json{{"traceId", span.trace_id},
                  {"spanId", span.span_id},
                  {"parentSpanId", span.parent_span_id},
                  {"name", span.name},
                  {"kind", SpanKindNumber(span.kind)},
                  {"startTimeUnixNano", UnixNanoseconds(span.start)},
                  {"endTimeUnixNano", UnixNanoseconds(span.end)},
                  {"attributes", attributes},
                  {"status", StatusToJson(span)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace fireflythread
