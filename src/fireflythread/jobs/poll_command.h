#ifndef FIREFLYTHREAD_JOBS_POLL_COMMAND_H_
#define FIREFLYTHREAD_JOBS_POLL_COMMAND_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Extends the lease of everything that runs on a worker and asks for its
/// report.
struct PollCommand {
  WorkerId worker;
  std::string address;
  std::uint64_t fence = 0;
  /// Ends up to this number may be forgotten by the worker.
  std::uint64_t last_seen = 0;
  /// On the worker's clock; no value leaves the lease as it is.
  std::optional<std::chrono::milliseconds> deadline;
  /// How long the worker may wait for an end before it answers.
  std::chrono::milliseconds wait{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_POLL_COMMAND_H_
