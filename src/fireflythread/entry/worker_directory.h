#ifndef FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_
#define FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_

#include <chrono>
#include <functional>
#include <vector>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/platform/platform_records.h"

namespace fireflythread {

/// Reads the workers' entries again and again while this entry owns a shard.
class WorkerDirectory {
 public:
  using Listener = std::function<void(const std::vector<WorkerView>&)>;

  WorkerDirectory(PlatformRecords& records,
                  std::function<bool()> is_needed,
                  Listener listener);
  WorkerDirectory(const WorkerDirectory&) = delete;
  auto operator=(const WorkerDirectory&) -> WorkerDirectory& = delete;

  /// Reads the entries at once, beside the periodic reading.
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
