#include "fireflythread/entry/duty_task.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/ownership/fence.h"
#include "fireflythread/platform/read_all.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{100};

/// Periods between reads of the platform's list of VMs, while there are duties
/// and while there are none.
constexpr milliseconds kActiveListPeriod{400};
constexpr milliseconds kIdleListPeriod{1500};

/// Pause after a page of loads, so that the loads of several shards share one
/// page.
constexpr milliseconds kLoadPagePause{50};

constexpr milliseconds kListTimeout{1500};
constexpr milliseconds kOrderTimeout{1500};

/// Upper limit of the waves in one transaction. The store accepts at most 100
/// entries in a transaction; each wave takes three and the fence one.
constexpr std::size_t kMaxWavesPerTransaction = 30;

auto EncodeDone(const std::set<VmId>& done) -> std::string {
  nlohmann::json list = nlohmann::json::array();
  for (const VmId& vm : done) {
    list.push_back(vm.value);
  }
  return list.dump();
}

auto DecodeDone(const std::string& text) -> std::set<VmId> {
  std::set<VmId> done;
  const auto list = nlohmann::json::parse(text, nullptr, false);
  if (list.is_array()) {
    for (const auto& vm : list) {
      if (vm.is_string()) {
        done.insert(VmId(vm.get<std::string>()));
      }
    }
  }
  return done;
}

}  // namespace

DutyTask::DutyTask(Environment env, std::uint64_t token)
    : environment(std::move(env)),
      fence(token),
      monitor(this->environment.logger),
      order_records(
          this->environment.store,
          ShardName(std::string(kDutyShard)),
          token,
          [this] {
            this->environment.on_fenced(ShardName(std::string(kDutyShard)));
          }),
      quota(this->environment.store,
            this->environment.logger,
            token,
            [this] {
              this->environment.on_fenced(ShardName(std::string(kDutyShard)));
            }),
      wave_loader(environment.store,
                  {std::string(kWaveTable), std::string(kDutyShard)},
                  [this](const std::vector<Row>& rows, std::uint64_t) {
                    for (const Row& row : rows) {
                      const std::int64_t number = std::atoll(row.key.c_str());
                      this->stored_done[number] = DecodeDone(row.value);
                      this->wave_versions[number] = row.version;
                    }
                    this->waves_loaded = true;
                  }),
      order_loader(environment.store,
                   {std::string(kOrderedTable), std::string(kDutyShard)},
                   [this](const std::vector<Row>& rows, std::uint64_t) {
                     ApplyFormerOrders(this->state,
                                       this->order_records.ApplyLoaded(rows));
                     this->orders_loaded = true;
                   }),
      load_retry([this] {
        this->loads_read ? this->FollowLoads() : this->ReadLoads();
      }),
      tick(kTick, [this] { this->Tick(); }) {
  this->state.owned_since = ReadBootClock();
}

auto DutyTask::Start() -> void {
  this->wave_loader.Start();
  this->order_loader.Start();
  this->ReadLoads();
}

auto DutyTask::SetConfiguration(const Configuration& configuration) -> void {
  this->state.pools.clear();
  for (const PoolService& service : configuration.services) {
    if (service.spare) {
      this->state.spare_pool = service.name;
    } else {
      this->state.pools.insert(service.name);
    }
  }
  this->quota.SetOrganisations(configuration.organisations);
}

auto DutyTask::SetPoolParts(const PoolParts& parts) -> void {
  this->state.part_counts = parts.counts;
  std::set<ShardName> shards;
  for (const auto& [pool, count] : parts.counts) {
    for (const PoolPart& part : PartsOf(parts, pool)) {
      shards.insert(ShardOf(part));
    }
  }
  this->quota.SetShards(shards);
}

auto DutyTask::SetWaves(const std::map<std::int64_t, WaveRequest>& waves)
    -> void {
  this->declared = waves;
}

auto DutyTask::ApplyDrainTable() -> void {
  ApplyDrained(this->state, this->environment.drain_table.Drained(),
               ReadBootClock());
  // The next step plans. Each change of the table only makes orders ready, and
  // a peak changes it a hundred times a second.
  if (this->IsReady()) {
    this->RecordOrders();
  }
}

auto DutyTask::IsReady() const -> bool {
  return this->waves_loaded && this->orders_loaded &&
         this->state.has_machine_list &&
         this->environment.drain_table.IsLoaded();
}

auto DutyTask::ReadLoads() -> void {
  ReadAll(this->environment.store,
          {std::string(kLoadTable), std::string(kLoadPart)}, kStoreTimeout,
          this->alive.Guard([this](auto&& result) {
            const auto* page = std::get_if<RangePage>(&result);
            if (page == nullptr) {
              this->load_retry.Start(kStoreRetryDelay);
              return;
            }
            for (const Row& row : page->rows) {
              this->ApplyLoad(row);
            }
            this->load_revision = page->revision;
            this->loads_read = true;
            this->FollowLoads();
          }));
}

auto DutyTask::FollowLoads() -> void {
  this->environment.store.Follow(
      std::string(kLoadTable), this->load_revision, kFollowWait,
      kFollowWait + kFollowSlack, this->alive.Guard([this](auto&& result) {
        const auto* page = std::get_if<FeedPage>(&result);
        if (page == nullptr || page->history_lost) {
          this->loads_read = page == nullptr;
          this->load_retry.Start(kStoreRetryDelay);
          return;
        }
        this->load_revision = page->revision;
        for (const Row& row : page->changed) {
          this->ApplyLoad(row);
        }
        this->Step();
        this->load_retry.Start(kLoadPagePause);
      }));
}

auto DutyTask::ApplyLoad(const Row& row) -> void {
  auto load = DecodePoolLoad(row.value);
  if (!load) {
    this->environment.logger.Warning("duties", "unreadable_load",
                                     {{"shard", row.key}});
    return;
  }
  PoolLoad& known = this->state.shard_loads[ShardName(row.key)];
  if (load->fence >= known.fence) {
    known = *std::move(load);
    this->changed_pools.insert(known.pool);
  }
}

auto DutyTask::ReadMachines() -> void {
  const TimePoint now = ReadBootClock();
  const milliseconds period =
      this->state.duties.empty() ? kIdleListPeriod : kActiveListPeriod;
  if (this->reading_machines || now - this->listed_at < period) {
    return;
  }
  this->reading_machines = true;
  this->listed_at = now;
  this->environment.machines.List(
      kListTimeout, this->alive.Guard([this](auto&& result) {
        this->reading_machines = false;
        if (const auto* list = std::get_if<std::vector<MachineView>>(&result)) {
          ApplyMachineList(this->state, *list, ReadBootClock());
        }
      }));
}

auto DutyTask::Tick() -> void {
  this->ReadMachines();
  // The loads of busy pools cause steps as well.
  if (ReadBootClock() - this->stepped_at >= kTick / 2) {
    this->Step();
  }
}

auto DutyTask::Step() -> void {
  if (!this->IsReady()) {
    return;
  }
  const TimePoint now = ReadBootClock();
  this->stepped_at = now;
  for (const ServiceName& pool : std::exchange(this->changed_pools, {})) {
    this->state.loads[pool] = SumLoads(this->state.shard_loads, pool);
  }
  for (const auto& [number, wave] : this->declared) {
    ApplyWave(this->state, wave, this->stored_done[number], now);
  }
  PlanUpkeeps(this->state, now);
  PlanMoves(this->state, now);
  this->environment.drain_table.SetWanted(WorkersToDrain(this->state),
                                          ShardName(std::string(kDutyShard)),
                                          this->fence);
  this->RecordOrders();
  this->StoreWaves();
  this->monitor.Report(this->state, now);
}

auto DutyTask::RecordOrders() -> void {
  const TimePoint now = ReadBootClock();
  this->order_records.Remove(RemoveExpiredRecords(this->state, now));
  if (this->recording) {
    return;
  }
  const std::vector<Duty> orders = NextOrders(this->state, now);
  if (orders.empty()) {
    return;
  }
  this->recording = true;
  this->order_records.Record(
      orders, [this, orders, sent_at = now](const TransactionOutcome& outcome) {
        this->recording = false;
        this->ApplyRecordOutcome(orders, outcome, sent_at);
      });
}

auto DutyTask::ApplyRecordOutcome(const std::vector<Duty>& orders,
                                  const TransactionOutcome& outcome,
                                  TimePoint sent_at) -> void {
  const bool stored = std::holds_alternative<Committed>(outcome);
  const std::vector<Duty> confirmed =
      ApplyRecordResult(this->state, orders, stored, sent_at, ReadBootClock());
  if (confirmed.size() < orders.size()) {
    this->environment.logger.Warning(
        "duties", "orders_not_recorded",
        {{"orders", orders.size() - confirmed.size()}, {"stored", stored}});
  }
  for (const Duty& duty : confirmed) {
    this->SendOrder(duty);
  }
  if (std::holds_alternative<Conflict>(outcome)) {
    this->environment.on_fenced(ShardName(std::string(kDutyShard)));
  } else if (stored) {
    // The orders of a load peak take several transactions.
    this->RecordOrders();
  }
}

auto DutyTask::SendOrder(const Duty& duty) -> void {
  this->environment.machines.Order(
      duty, this->fence, kOrderTimeout,
      this->alive.Guard([this, duty](DutyVerdict verdict) {
        this->environment.logger.Info(
            "duties", duty.wave ? "upkeep_ordered" : "move_ordered",
            {{"vm", duty.vm},
             {"worker", duty.worker},
             {"from", duty.from},
             {"target", duty.target},
             {"wave", duty.wave.value_or(0)},
             {"fence", this->fence},
             {"verdict", static_cast<int>(verdict)}});
        ApplyOrderReply(this->state, duty.vm, verdict, ReadBootClock());
        if (verdict == DutyVerdict::kFenced) {
          this->environment.on_fenced(ShardName(std::string(kDutyShard)));
        }
      }));
}

auto DutyTask::StoreWaves() -> void {
  if (this->storing_waves) {
    return;
  }
  const ShardName shard{std::string(kDutyShard)};
  Transaction transaction;
  transaction.conditions.push_back(OwnerCondition(shard, this->fence));
  std::vector<std::int64_t> numbers;
  for (auto& [number, wave] : this->state.waves) {
    if (!wave.dirty || numbers.size() >= kMaxWavesPerTransaction) {
      continue;
    }
    wave.dirty = false;
    numbers.push_back(number);
    const std::string key = std::to_string(number);
    transaction.conditions.push_back({std::string(kWaveTable), key,
                                      this->wave_versions[number],
                                      shard.value});
    transaction.writes.push_back(
        {std::string(kWaveTable), key, EncodeDone(wave.done), shard.value});
    transaction.writes.push_back(
        this->environment.records.WaveStatus(number, wave.completed));
  }
  if (numbers.empty()) {
    return;
  }
  this->storing_waves = true;
  this->environment.store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard([this, numbers](const TransactionOutcome& outcome) {
        this->storing_waves = false;
        this->ApplyWavesOutcome(numbers, outcome);
      }));
}

auto DutyTask::ApplyWavesOutcome(const std::vector<std::int64_t>& numbers,
                                 const TransactionOutcome& outcome) -> void {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    for (const std::int64_t number : numbers) {
      this->wave_versions[number] = committed->revision;
    }
    return;
  }
  for (const std::int64_t number : numbers) {
    this->state.waves.at(number).dirty = true;
  }
  const auto* conflict = std::get_if<Conflict>(&outcome);
  if (conflict == nullptr) {
    return;
  }
  if (HasNewerFence(*conflict, this->fence)) {
    this->environment.on_fenced(ShardName(std::string(kDutyShard)));
    return;
  }
  // An earlier transaction whose answer was lost took effect.
  for (const Row& row : conflict->current) {
    this->wave_versions[std::atoll(row.key.c_str())] = row.version;
  }
}

}  // namespace fireflythread
