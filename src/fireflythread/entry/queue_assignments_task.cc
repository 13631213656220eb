#include "fireflythread/entry/queue_assignments_task.h"

#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {

using std::chrono::milliseconds;

QueueAssignmentsTask::QueueAssignmentsTask(TableStore& table_store,
                                           const Logger& log,
                                           ShardsOfService shards,
                                           milliseconds delay)
    : store(table_store),
      logger(log),
      shards_of(std::move(shards)),
      write_delay(delay),
      read_timer([this] { this->Read(); }) {}

auto QueueAssignmentsTask::SetConfiguration(const Configuration& next) -> void {
  if (next.version == this->configuration.version) {
    return;
  }
  this->configuration = next;
  this->write_due.reset();
  this->Read();
}

auto QueueAssignmentsTask::AssignmentOf(const QueueId& queue) const
    -> const QueueAssignment* {
  const auto known = this->assignments.rows.find(queue);
  return known == this->assignments.rows.end() ? nullptr : &known->second;
}

auto QueueAssignmentsTask::WriteNow() -> void {
  this->write_due = ReadBootClock();
  this->Refresh();
}

auto QueueAssignmentsTask::Refresh() -> void {
  if (this->reading) {
    this->read_again = true;
    return;
  }
  if (!this->writing) {
    this->Read();
  }
}

auto QueueAssignmentsTask::RefreshEnded(const QueueId& queue,
                                        std::uint64_t version) -> void {
  this->assignments.found_ended.emplace(queue, version);
  this->Refresh();
}

auto QueueAssignmentsTask::Read() -> void {
  this->reading = true;
  this->read_again = false;
  // Replaces a read in flight, which may be older than the configuration.
  this->loader = std::make_unique<RangeLoader>(
      this->store, RangeRequest{std::string(kQueueAssignmentTable)},
      [this](const std::vector<Row>& rows, std::uint64_t) {
        this->ApplyRows(rows);
      });
  this->loader->Start();
}

auto QueueAssignmentsTask::ApplyRows(const std::vector<Row>& rows) -> void {
  this->reading = false;
  ApplyQueueAssignments(this->assignments, rows);
  if (this->read_again) {
    this->read_timer.Start(milliseconds(0));
    return;
  }
  if (this->writing) {
    return;
  }
  std::vector<Transaction> transactions =
      MakeQueueAssignments(this->assignments, this->configuration,
                           this->shards_of, std::chrono::system_clock::now());
  if (transactions.empty()) {
    this->assignments.found_ended.clear();
    this->write_due.reset();
    return;
  }
  const TimePoint now = ReadBootClock();
  if (!this->write_due) {
    this->write_due = now + this->write_delay;
  }
  if (now < *this->write_due) {
    this->read_timer.Start(
        std::chrono::ceil<milliseconds>(*this->write_due - now));
    return;
  }
  this->logger.Info("config", "queue_homes_written",
                    {{"version", this->configuration.version},
                     {"transactions", transactions.size()}});
  this->Write(std::move(transactions), 0);
}

auto QueueAssignmentsTask::Write(std::vector<Transaction> transactions,
                                 std::size_t next) -> void {
  this->writing = true;
  Transaction transaction = transactions[next];
  this->store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard([this, rest = std::move(transactions),
                         next](const TransactionOutcome& done) {
        this->writing = false;
        const bool stored = std::holds_alternative<Committed>(done);
        if (stored && next + 1 < rest.size()) {
          this->Write(rest, next + 1);
          return;
        }
        // Another entry may have written the same rows, so they are read
        // again after either outcome.
        this->read_timer.Start(stored ? milliseconds(0) : kStoreRetryDelay);
      }));
}

}  // namespace fireflythread
