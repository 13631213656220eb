#ifndef FIREFLYTHREAD_JOBS_POLL_COMMAND_H_
#define FIREFLYTHREAD_JOBS_POLL_COMMAND_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Poll order to a worker: extends the lease of all its runs and asks for a
/// report.
struct PollCommand {
  WorkerId worker;
  std::string address;
  std::uint64_t fence = 0;
  /// The worker may drop completions up to this number, because their effects
  /// are stored.
  std::uint64_t last_seen = 0;
  /// New lease deadline on the worker's clock; no value leaves the lease
  /// unchanged.
  std::optional<std::chrono::milliseconds> deadline;
  /// Maximum time that the worker waits for a completion before it answers.
  std::chrono::milliseconds wait{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_POLL_COMMAND_H_
