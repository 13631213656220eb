#ifndef FIREFLYTHREAD_ENTRY_UNRESPONSIVE_WORKERS_TASK_H_
#define FIREFLYTHREAD_ENTRY_UNRESPONSIVE_WORKERS_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/range_loader.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/unresponsive_record.h"
#include "fireflythread/platform/table_store.h"

namespace fireflythread {

/// Reads the row that names a shard's unresponsive workers when the shard is
/// acquired, and keeps it up to date from then on. At most one transaction is
/// in flight.
class UnresponsiveWorkersTask {
 public:
  /// `former_fence` is the fencing token of the owner directly before this one,
  /// or 0. `on_stored` is called after the outcome of each transaction.
  UnresponsiveWorkersTask(TableStore& store,
                          ShardState& state,
                          std::uint64_t former_fence,
                          std::function<void()> on_stored);
  UnresponsiveWorkersTask(const UnresponsiveWorkersTask&) = delete;
  auto operator=(const UnresponsiveWorkersTask&)
      -> UnresponsiveWorkersTask& = delete;

  /// Reads the row. The shard must be owned already, so that no former owner
  /// can change the row any more.
  auto Load() -> void;

  /// Stores the row if it is out of date.
  auto Step(TimePoint now) -> void;

 private:
  auto ApplyRows(const std::vector<Row>& rows) -> void;
  auto Store(const UnresponsiveRow& row) -> void;
  auto ApplyOutcome(const UnresponsiveRow& row,
                    const TransactionOutcome& outcome) -> void;
  auto ApplyConflict(const Conflict& conflict) -> void;

  TableStore& store;
  ShardState& state;
  std::uint64_t former_fence;
  std::function<void()> on_stored;
  std::unique_ptr<RangeLoader> loader;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_UNRESPONSIVE_WORKERS_TASK_H_
