#ifndef FIREFLYTHREAD_TELEMETRY_LOGGER_H_
#define FIREFLYTHREAD_TELEMETRY_LOGGER_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/telemetry/log_identity.h"
#include "fireflythread/telemetry/log_level.h"
#include "fireflythread/telemetry/log_record.h"

namespace fireflythread {

/// Writes log records of at least one level to a sink, each with the time that
/// `clock` gives. The sink gets one line without its end. MakeStderrLogger() in
/// io_stderr_logger.h is the one for programs.
class Logger {
 public:
  using Sink = std::function<void(std::string_view line)>;
  using Clock = std::function<WallTime()>;
  /// Whether a record of this event may be written now. Asked before the record
  /// is formatted, so a record that is left out costs little.
  using Gate = std::function<bool(std::string_view event)>;

  Logger(LogIdentity identity,
         LogLevel least,
         Sink sink,
         Clock clock,
         Gate gate = nullptr);

  /// Whether a record of this level would be written.
  [[nodiscard]] auto IsEnabled(LogLevel level) const -> bool;

  auto Write(const LogRecord& record) const -> void;

  auto Debug(std::string_view component,
             std::string_view event,
             std::vector<LogField> fields = {}) const -> void;
  auto Info(std::string_view component,
            std::string_view event,
            std::vector<LogField> fields = {}) const -> void;
  auto Warning(std::string_view component,
               std::string_view event,
               std::vector<LogField> fields = {}) const -> void;
  auto Error(std::string_view component,
             std::string_view event,
             std::vector<LogField> fields = {}) const -> void;

 private:
  auto WriteAt(LogLevel level,
               std::string_view component,
               std::string_view event,
               std::vector<LogField> fields) const -> void;

  LogIdentity identity;
  LogLevel least;
  Sink sink;
  Clock clock;
  Gate gate;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LOGGER_H_
