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

/// Follows what operators write. An older configuration never replaces a newer
/// one.
class ConfigTask {
 public:
  ConfigTask(PlatformRecords& records,
             const Logger& logger,
             std::function<void()> on_change);
  ConfigTask(const ConfigTask&) = delete;
  auto operator=(const ConfigTask&) -> ConfigTask& = delete;

  auto Start() -> void;

  /// Null until the first configuration has been read.
  [[nodiscard]] auto Current() const -> const Configuration*;

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
  bool must_read = true;
  OneShotTimer retry;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_CONFIG_TASK_H_
