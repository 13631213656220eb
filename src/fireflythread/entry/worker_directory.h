#ifndef FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_
#define FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_

#include <chrono>
#include <functional>
#include <vector>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/platform/platform_records.h"

namespace fireflythread {

/// Periodically reads the workers' registrations while they are needed, that is
/// while this entry owns a shard.
class WorkerDirectory {
 public:
  using Listener = std::function<void(const std::vector<WorkerView>&)>;

  /// Each read calls `is_needed` first and does nothing if it returns false.
  /// `listener` gets the workers of all services.
  WorkerDirectory(PlatformRecords& records,
                  std::function<bool()> is_needed,
                  Listener listener);
  WorkerDirectory(const WorkerDirectory&) = delete;
  auto operator=(const WorkerDirectory&) -> WorkerDirectory& = delete;

  /// Reads the registrations now, in addition to the periodic reads.
  auto Refresh() -> void;

 private:
  PlatformRecords& records;
  std::function<bool()> is_needed;
  Listener listener;
  bool reading = false;
  AliveToken alive;
  PeriodicTimer timer;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_
