#include "fireflythread/daemon/registration_task.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

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
                                   std::function<void()> predecessor_callback)
    : settings(daemon_settings),
      own(std::move(own_record)),
      platform(platform_client),
      logger(log),
      predecessor_gone(std::move(predecessor_callback)) {}

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
        if (!this->registered) {
          this->Write(EntryState::kRunning, [](bool) {});
        }
      });
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
