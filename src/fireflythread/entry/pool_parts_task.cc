#include "fireflythread/entry/pool_parts_task.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/ownership/ownership.h"
#include "fireflythread/platform/read_all.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kListTimeout{1500};

auto CountVms(const std::vector<MachineView>& machines)
    -> std::map<ServiceName, int> {
  std::map<ServiceName, int> sizes;
  for (const MachineView& machine : machines) {
    ++sizes[machine.pool];
  }
  return sizes;
}

}  // namespace

PoolPartsTask::PoolPartsTask(TableStore& table_store,
                             MachineClient* machine_client,
                             const Logger& log,
                             milliseconds delay,
                             std::function<void()> changed)
    : store(table_store),
      machines(machine_client),
      logger(log),
      write_delay(delay),
      on_change(std::move(changed)),
      timer([this] { this->Read(); }) {}

auto PoolPartsTask::SetConfiguration(const Configuration& next) -> void {
  this->configuration = next;
  if (!this->busy &&
      !PoolsWithoutParts(this->parts, this->configuration).empty()) {
    this->busy = true;
    this->Read();
  }
}

auto PoolPartsTask::Retry() -> void {
  this->timer.Start(kStoreRetryDelay);
}

auto PoolPartsTask::Read() -> void {
  ReadAll(this->store, {std::string(kPoolPartsTable)}, kStoreTimeout,
          this->alive.Guard([this](auto&& result) {
            const auto* page = std::get_if<RangePage>(&result);
            if (page == nullptr) {
              this->Retry();
              return;
            }
            this->ApplyRows(page->rows);
          }));
}

auto PoolPartsTask::ApplyRows(const std::vector<Row>& rows) -> void {
  const std::size_t known = this->parts.counts.size();
  ApplyPoolParts(this->parts, rows);
  const bool complete =
      PoolsWithoutParts(this->parts, this->configuration).empty();
  this->busy = !complete;
  if (this->parts.counts.size() > known) {
    this->on_change();
  }
  if (complete) {
    this->delayed = false;
    return;
  }
  if (!std::exchange(this->delayed, true)) {
    this->timer.Start(this->write_delay);
    return;
  }
  this->ReadMachines();
}

auto PoolPartsTask::ReadMachines() -> void {
  if (this->machines == nullptr) {
    this->ReadShards({});
    return;
  }
  this->machines->List(kListTimeout, this->alive.Guard([this](auto&& result) {
    const auto* list = std::get_if<std::vector<MachineView>>(&result);
    list == nullptr ? this->Retry() : this->ReadShards(*list);
  }));
}

auto PoolPartsTask::ReadShards(const std::vector<MachineView>& list) -> void {
  ReadAll(this->store, {std::string(kShardTable)}, kStoreTimeout,
          this->alive.Guard([this, list](auto&& result) {
            const auto* page = std::get_if<RangePage>(&result);
            page == nullptr ? this->Retry() : this->Write(list, page->rows);
          }));
}

auto PoolPartsTask::Write(const std::vector<MachineView>& list,
                          const std::vector<Row>& shards) -> void {
  const std::vector<ServiceName> pools =
      PoolsWithoutParts(this->parts, this->configuration);
  std::set<ServiceName> undivided;
  for (const Row& row : shards) {
    undivided.insert(ServiceName(row.key));
  }
  this->logger.Info("config", "pool_parts_written",
                    {{"pools", pools.size()}, {"vms", list.size()}});
  this->store.Commit(MakePoolParts(pools, CountVms(list), undivided),
                     kStoreTimeout,
                     this->alive.Guard([this](const TransactionOutcome&) {
                       // Whoever wrote the rows, they are read again.
                       this->Read();
                     }));
}

}  // namespace fireflythread
