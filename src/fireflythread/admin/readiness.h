#ifndef FIREFLYTHREAD_ADMIN_READINESS_H_
#define FIREFLYTHREAD_ADMIN_READINESS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflythread::admin {

/// Whether an entry serves callers.
struct Readiness {
  enum class State : std::uint8_t {
    /// Recovers its control state.
    kStarting,
    kServing,
    /// Finishes requests in flight.
    kStopping,
    /// Neither the store nor a majority of peers confirms its control state.
    kCutOff
  };

  State state = State::kStarting;
  /// Why it does not serve, in words; empty while it does.
  std::string reason;
};

/// "starting", "serving", "stopping" or "cut_off".
[[nodiscard]] auto FormatReadinessState(Readiness::State state)
    -> std::string_view;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_READINESS_H_
