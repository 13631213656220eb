#include "fireflythread/telemetry/logger.h"

#include <utility>

namespace fireflythread {

Logger::Logger(LogIdentity log_identity,
               LogLevel least_level,
               Sink line_sink,
               Clock wall_clock,
               Gate record_gate)
    : identity(std::move(log_identity)),
      least(least_level),
      sink(std::move(line_sink)),
      clock(std::move(wall_clock)),
      gate(std::move(record_gate)) {}

auto Logger::IsEnabled(LogLevel level) const -> bool {
  return level >= this->least;
}

auto Logger::Write(const LogRecord& record) const -> void {
  if (this->IsEnabled(record.level) &&
      (!this->gate || this->gate(record.event))) {
    this->sink(FormatLogLine(record, this->identity, this->clock()));
  }
}

auto Logger::WriteAt(LogLevel level,
                     std::string_view component,
                     std::string_view event,
                     std::vector<LogField> fields) const -> void {
  this->Write(LogRecord{level, std::string(component), std::string(event),
                        std::move(fields), "", ""});
}

auto Logger::Debug(std::string_view component,
                   std::string_view event,
                   std::vector<LogField> fields) const -> void {
  this->WriteAt(LogLevel::kDebug, component, event, std::move(fields));
}

auto Logger::Info(std::string_view component,
                  std::string_view event,
                  std::vector<LogField> fields) const -> void {
  this->WriteAt(LogLevel::kInfo, component, event, std::move(fields));
}

auto Logger::Warning(std::string_view component,
                     std::string_view event,
                     std::vector<LogField> fields) const -> void {
  this->WriteAt(LogLevel::kWarning, component, event, std::move(fields));
}

auto Logger::Error(std::string_view component,
                   std::string_view event,
                   std::vector<LogField> fields) const -> void {
  this->WriteAt(LogLevel::kError, component, event, std::move(fields));
}

}  // namespace fireflythread
