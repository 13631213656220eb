#ifndef FIREFLYTHREAD_TELEMETRY_LOG_FIELD_H_
#define FIREFLYTHREAD_TELEMETRY_LOG_FIELD_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "fireflythread/base/id.h"

namespace fireflythread {

/// One named value of a log line or attribute of a span. The name is
/// snake_case. Times carry their unit in the name, e.g. "waited_ms".
struct LogField {
  using Value = std::variant<std::string, std::int64_t, double, bool>;

  LogField(std::string field_name, std::string_view text)
      : name(std::move(field_name)), value(std::string(text)) {}
  LogField(std::string field_name, const char* text)
      : name(std::move(field_name)), value(std::string(text)) {}
  LogField(std::string field_name, std::string text)
      : name(std::move(field_name)), value(std::move(text)) {}
  template <typename Tag>
  LogField(std::string field_name, const Id<Tag>& id)
      : name(std::move(field_name)), value(id.value) {}
  LogField(std::string field_name, bool flag)
      : name(std::move(field_name)), value(flag) {}
  LogField(std::string field_name, std::integral auto number)
      : name(std::move(field_name)), value(static_cast<std::int64_t>(number)) {}
  LogField(std::string field_name, std::floating_point auto number)
      : name(std::move(field_name)), value(static_cast<double>(number)) {}

  std::string name;
  Value value;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LOG_FIELD_H_
