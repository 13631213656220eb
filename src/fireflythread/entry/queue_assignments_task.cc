#include "fireflythread/entry/queue_assignments_task.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {

QueueAssignmentsTask::QueueAssignmentsTask(TableStore& table_store,
                                           const Logger& log,
                                           std::chrono::milliseconds delay)
    : store(table_store),
      logger(log),
      write_delay(delay),
      read_timer([this] { this->Read(); }) {}

auto QueueAssignmentsTask::SetConfiguration(const Configuration& next) -> void {
  if (next.version == this->configuration.version) {
    return;
  }
  this->configuration = next;
  this->assignments.current = false;
  this->delayed = false;
  this->Read();
}

auto QueueAssignmentsTask::FormerAssignmentsOf(const Queue& queue) const
    -> std::optional<std::vector<ServiceName>> {
  return FormerAssignments(this->assignments, queue,
                           std::chrono::system_clock::now());
}

auto QueueAssignmentsTask::Read() -> void {
  // Replaces a read in flight, which may be older than the configuration.
  this->loader = std::make_unique<RangeLoader>(
      this->store, RangeRequest{std::string(kQueueAssignmentTable)},
      [this](const std::vector<Row>& rows, std::uint64_t) {
        this->ApplyRows(rows);
      });
  this->loader->Start();
}

auto QueueAssignmentsTask::ApplyRows(const std::vector<Row>& rows) -> void {
  ApplyQueueAssignments(this->assignments, rows);
  Transaction transaction = MakeQueueAssignments(
      this->assignments, this->configuration, std::chrono::system_clock::now());
  if (transaction.writes.empty()) {
    return;
  }
  if (!this->delayed) {
    this->delayed = true;
    this->read_timer.Start(this->write_delay);
    return;
  }
  this->Write(std::move(transaction));
}

auto QueueAssignmentsTask::Write(Transaction transaction) -> void {
  this->logger.Info("config", "queue_homes_written",
                    {{"version", this->configuration.version},
                     {"queues", transaction.writes.size()}});
  this->store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard([this](const TransactionOutcome& done) {
        // Another entry may have written the same rows, so they are read
        // again after either outcome.
        const bool stored = std::holds_alternative<Committed>(done);
        this->read_timer.Start(stored ? std::chrono::milliseconds(0)
                                      : kStoreRetryDelay);
      }));
}

}  // namespace fireflythread
