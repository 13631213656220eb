#include "fireflythread/telemetry/log_record.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "fireflythread/telemetry/format_time.h"

namespace fireflythread {
namespace {

// A field whose name holds one of these is never written in clear.
constexpr std::array<std::string_view, 5> kSecretNames{
    "token", "secret", "password", "authorization", "private_key"};

auto NamesSecret(std::string_view name) -> bool {
  return std::ranges::any_of(
      kSecretNames, [&](std::string_view secret) -> bool {
        return name.find(secret) != std::string_view::npos;
      });
}

auto FieldsToJson(const std::vector<LogField>& fields)
    -> nlohmann::ordered_json {
  auto json = nlohmann::ordered_json::object();
  for (const LogField& field : fields) {
    if (NamesSecret(field.name)) {
      json[field.name] = "[redacted]";
      continue;
    }
    std::visit([&](const auto& value) -> void { json[field.name] = value; },
               field.value);
  }
  return json;
}

}  // namespace

auto FormatLogLine(const LogRecord& record,
                   const LogIdentity& identity,
                   WallTime now) -> std::string {
  nlohmann::ordered_json line{
      {"time", FormatWallTime(now)},   {"level", FormatLogLevel(record.level)},
      {"component", record.component}, {"zone", identity.zone.value},
      {"entry", identity.entry.value}, {"event", record.event}};
  if (!record.request_id.empty()) {
    line["request_id"] = record.request_id;
  }
  if (!record.trace_id.empty()) {
    line["trace_id"] = record.trace_id;
  }
  if (!record.fields.empty()) {
    line["fields"] = FieldsToJson(record.fields);
  }
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace fireflythread
