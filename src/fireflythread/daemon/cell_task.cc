#include "fireflythread/daemon/cell_task.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/cells/cell_acceptance.h"
#include "fireflythread/cells/cell_record.h"
#include "fireflythread/cells/cell_record_codec.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "cell";
/// How often the insertion is tried, and the rows are read while an edit is
/// pending.
constexpr std::chrono::milliseconds kRetryPeriod{250};
/// The design allows one write of the row a second.
constexpr std::chrono::milliseconds kUpdatePeriod{1000};
/// How long a majority may take to report a version before the controller
/// looks at its newest version anew.
constexpr std::chrono::seconds kMajorityWait{2};

}  // namespace

/// An edit whose own cell has accepted it.
struct CellTask::Waiter {
  std::uint64_t config_version = 0;
  TimePoint deadline;
  std::set<CellName> missing;
  bool reading = false;
  AcceptanceCallback callback;
};

CellTask::CellTask(const DaemonSettings& daemon_settings,
                   PlatformClient& platform_client,
                   const Logger& log,
                   StateTask& state_task,
                   std::function<std::optional<Condition>()> fence_source)
    : settings(daemon_settings),
      platform(platform_client),
      logger(log),
      state(state_task),
      fence(std::move(fence_source)) {}

auto CellTask::Start(std::function<void()> written_callback) -> void {
  this->written = std::move(written_callback);
  this->insert_timer =
      std::make_unique<PeriodicTimer>(kRetryPeriod, [this] { this->Tick(); });
  this->update_timer = std::make_unique<PeriodicTimer>(
      kUpdatePeriod, [this] { this->UpdateRow(); });
  this->InsertRow();
}

auto CellTask::Tick() -> void {
  if (!this->inserted) {
    this->InsertRow();
  }
  const std::vector<std::shared_ptr<Waiter>> current = this->waiters;
  for (const auto& waiter : current) {
    this->Judge(waiter);
  }
}

auto CellTask::InsertRow() -> void {
  this->WriteRow(0, std::nullopt, [this](bool committed) {
    if (committed && !this->inserted) {
      this->inserted = true;
      std::exchange(this->written, nullptr)();
    }
  });
}

auto CellTask::UpdateRow() -> void {
  const std::uint64_t version = this->state.Members().applied.config;
  if (!this->fence()) {
    this->stated_version = 0;
    return;
  }
  if (this->writing || this->state.Members().recovering ||
      version <= this->stated_version) {
    return;
  }
  this->state.WatchAcceptance(
      version, ReadBootClock() + kMajorityWait, [this, version](bool accepted) {
        const std::optional<Condition> condition = this->fence();
        if (!accepted || !condition) {
          return;
        }
        this->WriteRow(version, condition, [this, version](bool committed) {
          if (committed) {
            this->stated_version = std::max(this->stated_version, version);
          }
        });
      });
}

auto CellTask::WriteRow(std::uint64_t config_version,
                        const std::optional<Condition>& condition,
                        std::function<void(bool)> done) -> void {
  if (this->writing) {
    done(false);
    return;
  }
  this->writing = true;
  const auto finish = [this, done = std::move(done)](bool committed) {
    this->writing = false;
    done(committed);
  };
  const std::string table(kCellTable);
  const std::string& name = this->settings.cell.name.value;
  this->platform.Read(
      table, name, this->settings.platform.read_timeout,
      [this, table, name, config_version, condition, finish](auto result) {
        const auto* row = std::get_if<std::optional<Row>>(&result);
        if (row == nullptr) {
          finish(false);
          return;
        }
        CellRecord record;
        if (row->has_value()) {
          const auto decoded = DecodeCellRecord(**row);
          if (const auto* known = std::get_if<CellRecord>(&decoded)) {
            record = *known;
          } else {
            this->logger.Error(
                kComponent, "cell_row_malformed",
                {{"reason", std::get<RowError>(decoded).reason}});
          }
        }
        if (config_version > 0 && record.config_version >= config_version) {
          finish(true);
          return;
        }
        record.claim = {this->settings.cell.name, this->settings.cell.zones};
        record.config_version = std::max(record.config_version, config_version);
        record.written_at = std::chrono::system_clock::now();
        Transaction transaction;
        transaction.nonce = this->settings.entry.id.value + "/cell";
        transaction.conditions.push_back(
            {table, name, row->has_value() ? (*row)->version : 0});
        if (condition) {
          transaction.conditions.push_back(*condition);
        }
        transaction.writes.push_back({table, name, EncodeCellRecord(record)});
        // A write of unknown result is repeated after another read.
        this->platform.Commit(
            std::move(transaction), this->settings.platform.commit_timeout,
            [finish](const TransactionOutcome& outcome) {
              finish(std::holds_alternative<Committed>(outcome));
            });
      });
}

auto CellTask::WatchAcceptance(std::uint64_t config_version,
                               TimePoint deadline,
                               AcceptanceCallback callback) -> void {
  this->state.WatchAcceptance(
      config_version, deadline,
      [this, config_version, deadline,
       callback = std::move(callback)](bool accepted) mutable {
        if (!accepted) {
          callback(false, {this->settings.cell.name});
          return;
        }
        // The rows are read only now, after the version was committed.
        auto waiter = std::make_shared<Waiter>();
        waiter->config_version = config_version;
        waiter->deadline = deadline;
        waiter->callback = std::move(callback);
        this->waiters.push_back(waiter);
        this->Judge(waiter);
      });
}

auto CellTask::ReadRows(RowsCallback callback) -> void {
  this->platform.Scan(
      std::string(kCellTable), 0, this->settings.platform.read_timeout,
      [callback = std::move(callback)](auto result) {
        const auto* scan = std::get_if<ScanResult>(&result);
        callback(scan == nullptr ? std::nullopt : std::optional(scan->rows));
      });
}

auto CellTask::Judge(const std::shared_ptr<Waiter>& waiter) -> void {
  if (waiter->reading) {
    return;
  }
  waiter->reading = true;
  this->ReadRows([this, waiter](const std::optional<std::vector<Row>>& rows) {
    waiter->reading = false;
    bool accepted = false;
    if (rows) {
      waiter->missing = JudgeCells(this->settings.cell.name, true, *rows,
                                   waiter->config_version)
                            .missing;
      accepted = waiter->missing.empty();
    }
    if (accepted || ReadBootClock() >= waiter->deadline) {
      std::erase(this->waiters, waiter);
      waiter->callback(accepted, waiter->missing);
    }
  });
}

}  // namespace fireflythread
