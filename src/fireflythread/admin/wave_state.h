#ifndef FIREFLYTHREAD_ADMIN_WAVE_STATE_H_
#define FIREFLYTHREAD_ADMIN_WAVE_STATE_H_

#include <cstdint>
#include <string_view>

namespace fireflythread::admin {

enum class WaveState : std::uint8_t {
  /// Only a plan, from a dry run.
  kPlanned,
  kDeclared,
  kRunning,
  /// Waits for the store or for a maintenance window.
  kPaused,
  kDone,
  kCancelled
};

/// "planned", "declared", "running", "paused", "done" or "cancelled".
[[nodiscard]] auto FormatWaveState(WaveState state) -> std::string_view;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_WAVE_STATE_H_
