#ifndef FIREFLYTHREAD_ENTRY_CONFIG_TASK_H_
#define FIREFLYTHREAD_ENTRY_CONFIG_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/wave_request.h"
#include "fireflythread/platform/platform_records.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Follows the configuration and the maintenance waves that operators write. An
/// older configuration never replaces a newer one.
class ConfigTask {
 public:
  /// `on_change` is called after a newer configuration or a wave was applied.
  ConfigTask(PlatformRecords& records,
             const Logger& logger,
             std::function<void()> on_change);
  ConfigTask(const ConfigTask&) = delete;
  auto operator=(const ConfigTask&) -> ConfigTask& = delete;

  /// Starts to read and follow the records, with retries after failures.
  auto Start() -> void;

  /// Returns the current configuration; null until the first has been read.
  [[nodiscard]] auto Current() const -> const Configuration*;

  /// Returns the waves declared so far, by number.
  [[nodiscard]] auto Waves() const
      -> const std::map<std::int64_t, WaveRequest>& {
    return this->waves;
  }

 private:
  auto Read() -> void;
  auto Follow() -> void;
  auto Apply(OperatorNews news) -> void;

  PlatformRecords& records;
  const Logger& logger;
  std::function<void()> on_change;
  std::optional<Configuration> configuration;
  std::map<std::int64_t, WaveRequest> waves;
  std::uint64_t revision = 0;
  /// The next retry must read all records instead of following changes.
  bool must_read = true;
  OneShotTimer retry;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_CONFIG_TASK_H_
