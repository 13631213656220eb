#include "fireflythread/entry/published_row.h"

#include <utility>
#include <variant>

namespace fireflythread {

struct PublishedRow::Pending {
  std::string value;
  std::vector<Condition> conditions;
  Duration timeout;
  Callback callback;
  /// The write was sent again with the version that a conflict told.
  bool again = false;
};

PublishedRow::PublishedRow(TableStore& table_store,
                           const Logger& log,
                           std::string row_table,
                           std::string row_key,
                           std::string row_part,
                           MayReplace may_replace_row)
    : store(table_store),
      logger(log),
      table(std::move(row_table)),
      key(std::move(row_key)),
      part(std::move(row_part)),
      may_replace(std::move(may_replace_row)) {}

auto PublishedRow::Write(std::string value,
                         std::vector<Condition> conditions,
                         Duration timeout,
                         Callback callback) -> void {
  this->writing = true;
  this->Send(
      std::make_shared<Pending>(Pending{std::move(value), std::move(conditions),
                                        timeout, std::move(callback), false}));
}

auto PublishedRow::Send(const std::shared_ptr<Pending>& pending) -> void {
  Transaction transaction;
  transaction.conditions = pending->conditions;
  transaction.conditions.push_back(
      {this->table, this->key, this->version, this->part});
  transaction.writes.push_back(
      {this->table, this->key, pending->value, this->part});
  this->store.Commit(
      std::move(transaction), pending->timeout,
      this->alive.Guard([this, pending](const TransactionOutcome& outcome) {
        const auto* conflict = std::get_if<Conflict>(&outcome);
        const bool replace =
            conflict != nullptr && this->ApplyConflict(*conflict);
        if (replace && !pending->again) {
          pending->again = true;
          this->Send(pending);
          return;
        }
        this->writing = false;
        this->ApplyOutcome(outcome);
        pending->callback(outcome);
      }));
}

auto PublishedRow::ApplyOutcome(const TransactionOutcome& outcome) -> void {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    this->version = committed->revision;
    this->known = true;
  } else if (std::holds_alternative<CommitUnknown>(outcome)) {
    this->known = false;
    this->logger.Info("shard", "row_outcome_unknown",
                      {{"table", this->table},
                       {"part", this->part},
                       {"key", this->key},
                       {"version", this->version}});
  }
}

auto PublishedRow::ApplyConflict(const Conflict& conflict) -> bool {
  bool replace = true;
  for (const Row& row : conflict.current) {
    if (row.table != this->table || row.key != this->key ||
        row.part != this->part) {
      replace = false;
      continue;
    }
    this->logger.Info("shard", "row_version_learned",
                      {{"table", this->table},
                       {"part", this->part},
                       {"key", this->key},
                       {"version", row.version},
                       {"expected", this->version}});
    this->version = row.version;
    this->known = false;
    replace = replace && (!this->may_replace || this->may_replace(row.value));
  }
  return replace;
}

}  // namespace fireflythread
