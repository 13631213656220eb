#ifndef FIREFLYTHREAD_ENTRY_POOL_PARTS_TASK_H_
#define FIREFLYTHREAD_ENTRY_POOL_PARTS_TASK_H_

#include <chrono>
#include <functional>
#include <vector>

#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/pool_parts.h"
#include "fireflythread/platform/machine_client.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Reads the number of parts of each pool of the configuration, and decides it
/// for a pool that has no row yet by the number of its VMs. The list of VMs is
/// complete from the start, while workers register one by one.
class PoolPartsTask {
 public:
  /// An entry that misses a row waits for `write_delay` before it writes one.
  /// Different delays prevent all entries from writing the same row at once.
  /// Without `machines`, pools are not divided. `on_change` is called when more
  /// pools have become known.
  PoolPartsTask(TableStore& store,
                MachineClient* machines,
                const Logger& logger,
                std::chrono::milliseconds write_delay,
                std::function<void()> on_change);
  PoolPartsTask(const PoolPartsTask&) = delete;
  auto operator=(const PoolPartsTask&) -> PoolPartsTask& = delete;

  /// Applies a configuration that has come into force.
  auto SetConfiguration(const Configuration& configuration) -> void;

  [[nodiscard]] auto Parts() const -> const PoolParts& { return this->parts; }

 private:
  auto Read() -> void;
  auto ApplyRows(const std::vector<Row>& rows) -> void;
  auto ReadMachines() -> void;
  auto ReadShards(const std::vector<MachineView>& machines) -> void;
  auto Write(const std::vector<MachineView>& machines,
             const std::vector<Row>& shards) -> void;
  auto Retry() -> void;

  TableStore& store;
  MachineClient* machines;
  const Logger& logger;
  std::chrono::milliseconds write_delay;
  std::function<void()> on_change;
  Configuration configuration;
  PoolParts parts;
  bool busy = false;
  /// A row was missed and the delay was started.
  bool delayed = false;
  OneShotTimer timer;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_POOL_PARTS_TASK_H_
