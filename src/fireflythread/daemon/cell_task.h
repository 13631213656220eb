#ifndef FIREFLYTHREAD_DAEMON_CELL_TASK_H_
#define FIREFLYTHREAD_DAEMON_CELL_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

class Logger;
class StateTask;

/// Keeps the cell's row in table `cell` and judges acceptance across cells.
class CellTask {
 public:
  /// `accepted` is false while cells are `missing`, or unknown because the
  /// table could not be read.
  using AcceptanceCallback =
      std::function<void(bool accepted, const std::set<CellName>& missing)>;
  using RowsCallback =
      std::function<void(const std::optional<std::vector<Row>>& rows)>;

  /// `fence` gives the condition of the controller's writes, no value while
  /// the entry is not the controller.
  CellTask(const DaemonSettings& settings,
           PlatformClient& platform,
           const Logger& logger,
           StateTask& state,
           std::function<std::optional<Condition>()> fence);

  /// Writes the cell's row, which inserts it when it is absent, until that is
  /// committed, and then calls back. The configuration may be read after it.
  auto Start(std::function<void()> written) -> void;

  /// Calls back once this version is accepted in all cells, or at `deadline`.
  auto WatchAcceptance(std::uint64_t config_version,
                       TimePoint deadline,
                       AcceptanceCallback callback) -> void;

  /// Reads all rows of table `cell`; no value when that fails.
  auto ReadRows(RowsCallback callback) -> void;

 private:
  struct Waiter;

  auto Tick() -> void;
  auto InsertRow() -> void;
  auto UpdateRow() -> void;
  /// Raises the row to `config_version`; 0 leaves its version unchanged.
  auto WriteRow(std::uint64_t config_version,
                const std::optional<Condition>& fence,
                std::function<void(bool)> done) -> void;
  auto Judge(const std::shared_ptr<Waiter>& waiter) -> void;

  const DaemonSettings& settings;
  PlatformClient& platform;
  const Logger& logger;
  StateTask& state;
  std::function<std::optional<Condition>()> fence;
  std::function<void()> written;
  bool inserted = false;
  bool writing = false;
  /// The version in the row as this entry last wrote it as the controller.
  std::uint64_t stated_version = 0;
  std::vector<std::shared_ptr<Waiter>> waiters;
  std::unique_ptr<PeriodicTimer> insert_timer;
  std::unique_ptr<PeriodicTimer> update_timer;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_CELL_TASK_H_
