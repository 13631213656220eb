#ifndef FIREFLYTHREAD_TELEMETRY_LOG_RECORD_H_
#define FIREFLYTHREAD_TELEMETRY_LOG_RECORD_H_

#include <string>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/telemetry/log_field.h"
#include "fireflythread/telemetry/log_identity.h"
#include "fireflythread/telemetry/log_level.h"

namespace fireflythread {

/// One log line before it is written. `event` is a stable snake_case name out
/// of docs/logs.md, which alerts and searches may rely on. `request_id` and
/// `trace_id` are empty when the line belongs to no request.
struct LogRecord {
  LogLevel level = LogLevel::kInfo;
  std::string component;
  std::string event;
  std::vector<LogField> fields;
  std::string request_id;
  std::string trace_id;
};

/// One JSON object without a line end: time (UTC, ISO 8601 with milliseconds),
/// level, component, zone, entry, event, request_id and trace_id where known,
/// and fields. Values of fields that name a secret are replaced, and bytes that
/// are not UTF-8 too.
[[nodiscard]] auto FormatLogLine(const LogRecord& record,
                                 const LogIdentity& identity,
                                 WallTime now) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LOG_RECORD_H_
