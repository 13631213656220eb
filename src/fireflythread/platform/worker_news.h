#ifndef FIREFLYTHREAD_PLATFORM_WORKER_NEWS_H_
#define FIREFLYTHREAD_PLATFORM_WORKER_NEWS_H_

#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/worker_view.h"

namespace fireflythread {

/// A worker's entry at a version of its row.
struct WorkerEntry {
  WorkerView view;
  std::uint64_t version = 0;
};

/// A worker whose entry was removed, or can no longer be used, at a version of
/// its row.
struct RemovedWorker {
  WorkerId id;
  std::uint64_t version = 0;
};

/// The entries of workers, or their changes since the revision asked from.
struct WorkerNews {
  std::vector<WorkerEntry> present;
  std::vector<RemovedWorker> removed;
  std::uint64_t revision = 0;
  /// Everything must be read again.
  bool history_lost = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_WORKER_NEWS_H_
