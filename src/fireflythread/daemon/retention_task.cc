#include "fireflythread/daemon/retention_task.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/daemon/entry_record.h"
#include "fireflythread/daemon/registration_task.h"
#include "fireflythread/lease/lease.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/retention/retention_facts.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "retention";

}  // namespace

RetentionTask::RetentionTask(Dependencies dependencies)
    : deps(dependencies), limits(dependencies.settings.retention) {}

auto RetentionTask::BeginTerm() -> void {
  ++this->term;
  this->scan = RetentionScan();
  this->busy = false;
}

auto RetentionTask::Step() -> void {
  if (this->busy) {
    return;
  }
  auto request = NextRetentionPage(this->scan, this->limits, ReadBootClock());
  if (!request) {
    return;
  }
  this->busy = true;
  this->deps.platform.ReadPage(
      *std::move(request), this->deps.settings.platform.read_timeout,
      [this, asked_in = this->term](auto result) {
        if (asked_in != this->term) {
          return;
        }
        this->busy = false;
        if (const auto* page = std::get_if<RowPage>(&result)) {
          this->TakePage(*page);
        }
      });
}

auto RetentionTask::TakePage(const RowPage& page) -> void {
  const TimePoint now = ReadBootClock();
  const auto fence = FenceCondition(this->deps.lease, now);
  if (!fence) {
    return;
  }
  RetentionFacts facts;
  facts.wall_time = std::chrono::system_clock::now();
  facts.fence = *fence;
  for (const auto& [id, entry] : this->deps.registration.Entries()) {
    facts.incarnations[id] = entry.incarnation;
    if (entry.state == EntryState::kStopped) {
      facts.stopped.insert(id);
    }
  }
  const auto removals = std::make_shared<std::vector<Removal>>(
      TakeRetentionPage(this->scan, this->limits, page, facts, now));
  if (!removals->empty()) {
    this->busy = true;
    this->DeleteObjects(removals, 0);
  }
}

auto RetentionTask::DeleteObjects(
    const std::shared_ptr<std::vector<Removal>>& removals,
    std::size_t next) -> void {
  while (next < removals->size() && (*removals)[next].objects.empty()) {
    ++next;
  }
  if (next == removals->size()) {
    this->Commit(*removals);
    return;
  }
  if (!HoldsLease(this->deps.lease, ReadBootClock())) {
    this->busy = false;
    return;
  }
  std::vector<std::string>& objects = (*removals)[next].objects;
  std::string object = std::move(objects.back());
  objects.pop_back();
  this->deps.platform.DeleteObject(
      std::move(object), this->deps.settings.platform.commit_timeout,
      [this, asked_in = this->term, removals, next](const auto& result) {
        if (asked_in != this->term) {
          return;
        }
        if (std::holds_alternative<PlatformError>(result)) {
          // The row still names the object; the next pass deletes both.
          removals->erase(removals->begin() +
                          static_cast<std::ptrdiff_t>(next));
        }
        this->DeleteObjects(removals, next);
      });
}

auto RetentionTask::Commit(const std::vector<Removal>& removals) -> void {
  std::vector<Transaction> transactions;
  transactions.reserve(removals.size());
  for (const Removal& removal : removals) {
    transactions.push_back(removal.transaction);
  }
  if (transactions.empty()) {
    this->busy = false;
    return;
  }
  const std::string table = transactions.front().writes.front().table;
  this->deps.platform.CommitBatch(
      std::move(transactions), this->deps.settings.platform.commit_timeout,
      [this, asked_in = this->term, table](const auto& outcomes) {
        if (asked_in != this->term) {
          return;
        }
        this->busy = false;
        const auto removed = std::count_if(
            outcomes.begin(), outcomes.end(), [](const auto& outcome) {
              return std::holds_alternative<Committed>(outcome);
            });
        this->deps.logger.Info(kComponent, "old_rows_removed",
                               {{"table", table},
                                {"removed", removed},
                                {"tried", outcomes.size()}});
      });
}

}  // namespace fireflythread
