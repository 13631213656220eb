// The part of the administration backend that declares and cancels waves.

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/wave_codec.h"
#include "fireflythread/control/wave_plan.h"
#include "fireflythread/daemon/admin_task.h"
#include "fireflythread/daemon/controller_task.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/daemon/wave_selection.h"
#include "fireflythread/daemon/wave_status.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

using admin::AdminError;

auto Unavailable(const std::string& reason) -> AdminError {
  return {AdminError::Kind::kUnavailable, reason, {}};
}

auto MillisSinceEpoch(WallTime time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

auto AdminTask::ReadWaves(Callback<std::vector<WaveRecord>> callback) -> void {
  this->deps.platform.Scan(
      std::string(kWaveTable), 0, this->deps.settings.platform.read_timeout,
      [callback](auto result) {
        const auto* scan = std::get_if<ScanResult>(&result);
        if (scan == nullptr) {
          callback(Unavailable("the store cannot be read"));
          return;
        }
        std::vector<WaveRecord> waves;
        for (const Row& row : scan->rows) {
          auto wave = DecodeWaveRecord(row);
          if (auto* record = std::get_if<WaveRecord>(&wave)) {
            waves.push_back(std::move(*record));
          }
        }
        callback(std::move(waves));
      });
}

auto AdminTask::ListWaves(Callback<std::vector<admin::WaveStatus>> callback)
    -> void {
  this->WithReport(
      [this, callback](const std::optional<ControllerReport>& report) {
        this->ReadWaves([this, callback, report](auto result) {
          auto* waves = std::get_if<std::vector<WaveRecord>>(&result);
          if (waves == nullptr) {
            callback(std::get<AdminError>(result));
            return;
          }
          std::vector<admin::WaveStatus> statuses;
          statuses.reserve(waves->size());
          for (const WaveRecord& wave : *waves) {
            statuses.push_back(
                BuildWaveStatus(wave, *this->deps.state.Current().fleet, report,
                                std::chrono::system_clock::now()));
          }
          callback(std::move(statuses));
        });
      });
}

auto AdminTask::GetWave(WaveId id, Callback<admin::WaveStatus> callback)
    -> void {
  this->ListWaves([id, callback](auto result) {
    auto* waves = std::get_if<std::vector<admin::WaveStatus>>(&result);
    if (waves == nullptr) {
      callback(std::get<AdminError>(result));
      return;
    }
    for (admin::WaveStatus& wave : *waves) {
      if (wave.id == id) {
        callback(std::move(wave));
        return;
      }
    }
    callback(AdminError{AdminError::Kind::kNotFound,
                        "wave " + id.value + " does not exist",
                        {}});
  });
}

auto AdminTask::PlanDryRun(const WaveRecord& record) const
    -> admin::WaveStatus {
  const WavePlan plan = PlanWave(this->deps.controller.Inputs(),
                                 this->deps.controller.Memory(), record);
  const WallTime now = std::chrono::system_clock::now();
  admin::WaveStatus status;
  status.selector = ToAdminSelector(record.selector);
  status.state = admin::WaveState::kPlanned;
  status.declared_by = record.declared_by;
  status.declared_at = now;
  for (const WaveBatch& batch : plan.batches) {
    status.vms_total += static_cast<int>(batch.vms.size());
    status.steps.push_back({batch.vms, batch.start,
                            this->deps.controller.Memory().maintenance_time});
  }
  if (plan.finishes) {
    status.expected_end =
        now + std::chrono::duration_cast<WallTime::duration>(plan.duration);
  }
  for (const BlockedVm& blocked : plan.blocked) {
    status.blocked.push_back({blocked.vm, DescribeBlocked(blocked)});
  }
  return status;
}

auto AdminTask::DeclareMaintenance(admin::DeclareRequest request,
                                   Callback<admin::WaveStatus> callback)
    -> void {
  WaveRecord record;
  record.id = WaveId(request.key);
  record.selector =
      ToWaveSelector(request.selector, *this->deps.state.Current().fleet);
  record.declared_by = request.who;
  record.declared_at_ms = MillisSinceEpoch(std::chrono::system_clock::now());
  if (record.selector.kind == WaveSelectorKind::kVms &&
      record.selector.vms.empty()) {
    callback(AdminError{AdminError::Kind::kInvalid,
                        "the selector names no VM of the fleet",
                        {}});
    return;
  }
  if (request.dry_run) {
    callback(this->PlanDryRun(record));
    return;
  }
  this->deps.logger.Info("maintenance", "wave_declared",
                         {{"wave", record.id},
                          {"selector", FormatWaveSelector(record.selector)},
                          {"who", request.who},
                          {"reason", request.reason}});
  this->CommitWave(std::move(record), "declare", std::move(callback));
}

auto AdminTask::CommitWave(WaveRecord record,
                           std::string nonce,
                           Callback<admin::WaveStatus> callback) -> void {
  Transaction transaction;
  transaction.nonce = fmt::format("{}/{}", record.id.value, nonce);
  transaction.conditions.push_back(
      {std::string(kWaveTable), record.id.value, record.version});
  transaction.writes.push_back(
      {std::string(kWaveTable), record.id.value, EncodeWaveRecord(record)});
  this->deps.platform.Commit(
      std::move(transaction), this->deps.settings.platform.commit_timeout,
      [this, record, callback](const TransactionOutcome& outcome) {
        if (const auto* failed = std::get_if<NotCommitted>(&outcome)) {
          callback(Unavailable(failed->reason));
          return;
        }
        // After a conflict or a lost answer the row says what stands.
        this->GetWave(record.id, [outcome, callback](auto result) {
          const bool lost = std::holds_alternative<CommitUnknown>(outcome);
          if (lost && std::holds_alternative<AdminError>(result)) {
            callback(
                AdminError{AdminError::Kind::kUnknownResult,
                           "the store did not say whether the wave was written",
                           {}});
            return;
          }
          callback(std::move(result));
        });
      });
}

auto AdminTask::CancelWave(WaveId id,
                           std::string who,
                           Callback<admin::WaveStatus> callback) -> void {
  this->ReadWaves([this, id, who, callback](auto result) {
    auto* waves = std::get_if<std::vector<WaveRecord>>(&result);
    if (waves == nullptr) {
      callback(std::get<AdminError>(result));
      return;
    }
    for (WaveRecord& wave : *waves) {
      if (wave.id != id) {
        continue;
      }
      if (wave.state == WaveState::kFinished ||
          wave.state == WaveState::kCancelled) {
        this->GetWave(id, callback);
        return;
      }
      wave.state = WaveState::kCancelled;
      this->deps.logger.Info("maintenance", "wave_cancelled",
                             {{"wave", id}, {"who", who}});
      this->CancelStep(wave, callback);
      return;
    }
    callback(AdminError{AdminError::Kind::kNotFound,
                        "wave " + id.value + " does not exist",
                        {}});
  });
}

auto AdminTask::CancelStep(const WaveRecord& cancelled,
                           const Callback<admin::WaveStatus>& callback)
    -> void {
  this->CommitWave(
      cancelled, "cancel", [this, cancelled, callback](auto result) {
        const auto* status = std::get_if<admin::WaveStatus>(&result);
        // The controller writes the row too; a cancellation that came second
        // is tried again on the newer row.
        if (status != nullptr &&
            status->state != admin::WaveState::kCancelled &&
            status->state != admin::WaveState::kDone) {
          this->CancelWave(cancelled.id, cancelled.declared_by, callback);
          return;
        }
        callback(std::move(result));
      });
}

}  // namespace fireflythread
