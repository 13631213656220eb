#include "fireflythread/daemon/registration_task.h"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/cells/cell_claim.h"
#include "fireflythread/cells/cell_conflict.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "registration";
constexpr std::chrono::milliseconds kRefreshPeriod{1000};

}  // namespace

RegistrationTask::RegistrationTask(const DaemonSettings& daemon_settings,
                                   EntryRecord own_record,
                                   PlatformClient& platform_client,
                                   const Logger& log,
                                   std::function<void()> predecessor_callback,
                                   std::function<void()> registered_function)
    : settings(daemon_settings),
      own(std::move(own_record)),
      platform(platform_client),
      logger(log),
      predecessor_gone(std::move(predecessor_callback)),
      registered_callback(std::move(registered_function)) {}

auto RegistrationTask::Start() -> void {
  this->timer = std::make_unique<PeriodicTimer>(kRefreshPeriod,
                                                [this] { this->Refresh(); });
  this->Refresh();
}

auto RegistrationTask::Entries() const
    -> const std::map<EntryId, EntryRecord>& {
  return this->entries;
}

auto RegistrationTask::Refresh() -> void {
  if (this->reading || this->stopping) {
    return;
  }
  this->reading = true;
  this->platform.Scan(
      kEntryTable, 0, this->settings.platform.read_timeout,
      [this](auto result) {
        this->reading = false;
        const auto* scan = std::get_if<ScanResult>(&result);
        if (scan == nullptr) {
          return;
        }
        std::map<EntryId, EntryRecord> read;
        for (const Row& row : scan->rows) {
          const auto record =
              DecodeEntryRecord(EntryId(row.key), row.version, row.value);
          if (record) {
            read.emplace(record->id, *record);
          } else {
            this->logger.Warning(kComponent, "entry_row_malformed",
                                 {{"key", row.key}});
          }
        }
        this->entries = std::move(read);
        this->CheckClaims();
        if (!this->registered && this->claim_conflict.empty()) {
          this->Write(EntryState::kRunning, [](bool) {});
        }
      });
}

auto RegistrationTask::ClaimConflict() const -> const std::string& {
  return this->claim_conflict;
}

auto RegistrationTask::CheckClaims() -> void {
  std::string found;
  for (const auto& [id, entry] : this->entries) {
    // Of two entries that registered at the same time the later one yields, so
    // a wrong setting does not stop the cell that serves already.
    const bool earlier = !this->registered || entry.version < this->own.version;
    if (id == this->own.id || entry.state == EntryState::kStopped || !earlier) {
      continue;
    }
    if (entry.claim.cell != this->own.claim.cell) {
      // Lease and fleet rows are shared by all entries of the table so far, so
      // two cells would command the same VMs.
      found =
          fmt::format("entry {} is of another cell, {}; one cell is allowed",
                      id.value, entry.claim.cell.value);
      break;
    }
    if (auto conflict = FindClaimConflict(this->own.claim, entry.claim)) {
      found = fmt::format("{} (entry {})", *conflict, id.value);
      break;
    }
  }
  if (found != this->claim_conflict) {
    this->claim_conflict = std::move(found);
    this->logger.Warning(kComponent, "cell_claim_conflict",
                         {{"reason", this->claim_conflict}});
  }
}

auto RegistrationTask::Write(EntryState state, std::function<void(bool)> done)
    -> void {
  if (this->writing) {
    done(false);
    return;
  }
  const auto found = this->entries.find(this->own.id);
  const EntryRecord* previous =
      found == this->entries.end() ? nullptr : &found->second;
  const bool first = !this->registered;
  if (first && previous != nullptr &&
      previous->incarnation == this->own.incarnation) {
    // An earlier write took effect and its answer was lost.
    this->registered = true;
    this->own.version = previous->version;
    this->registered_callback();
    done(true);
    return;
  }
  const bool graceful =
      previous == nullptr || previous->state == EntryState::kStopped;
  this->own.state = state;
  Transaction transaction;
  transaction.nonce = this->own.id.value + "/register";
  transaction.conditions.push_back(
      {kEntryTable, this->own.id.value,
       previous == nullptr ? 0 : previous->version});
  transaction.writes.push_back(
      {kEntryTable, this->own.id.value, EncodeEntryRecord(this->own)});
  this->writing = true;
  this->platform.Commit(
      std::move(transaction), this->settings.platform.commit_timeout,
      [this, first, graceful, done](TransactionOutcome outcome) {
        this->writing = false;
        const auto* committed = std::get_if<Committed>(&outcome);
        if (committed == nullptr) {
          done(false);
          return;
        }
        this->own.version = committed->revision;
        this->entries[this->own.id] = this->own;
        this->registered = true;
        if (first) {
          this->logger.Info(kComponent, "entry_registered",
                            {{"predecessor_stopped", graceful}});
          if (graceful) {
            this->predecessor_gone();
          }
          this->registered_callback();
        }
        done(true);
      });
}

auto RegistrationTask::Stop(std::function<void()> done) -> void {
  this->stopping = true;
  this->timer.reset();
  if (!this->registered) {
    done();
    return;
  }
  this->Write(EntryState::kStopped, [this, done](bool written) {
    if (!written) {
      this->logger.Warning(kComponent, "stop_not_recorded");
    }
    done();
  });
}

}  // namespace fireflythread
