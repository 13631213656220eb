#include "test/fireflythread/entry/fake_table_store.h"

#include <glib.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <utility>

namespace fireflythread::test {
namespace {

constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kRowsPerPage = 500;
constexpr std::chrono::seconds kMaxWait{10};

/// Returns whether all writes are in one part. Conditions may be in others.
auto IsInOnePart(const Transaction& transaction) -> bool {
  return std::all_of(transaction.writes.begin(), transaction.writes.end(),
                     [&](const Write& write) -> bool {
                       return write.part == transaction.writes.front().part;
                     });
}

}  // namespace

auto FakeTableStore::RunLater(std::function<void()> function) -> void {
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      +[](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(function)),
      +[](gpointer data) -> void {
        delete static_cast<std::function<void()>*>(data);
      });
}

auto FakeTableStore::Commit(Transaction transaction,
                            Duration /*timeout*/,
                            CommitCallback callback) -> void {
  TransactionOutcome outcome = this->Apply(transaction);
  this->transactions.push_back(std::move(transaction));
  if (std::exchange(this->lose_next_answer, false)) {
    outcome = CommitUnknown{"answer lost"};
  }
  RunLater([outcome, done = std::move(callback)] { done(outcome); });
}

auto FakeTableStore::Apply(const Transaction& transaction)
    -> TransactionOutcome {
  REQUIRE(transaction.conditions.size() + transaction.writes.size() <=
          kMaxEntries);
  REQUIRE(IsInOnePart(transaction));
  Conflict conflict;
  for (const Condition& condition : transaction.conditions) {
    const RowKey row_key{condition.table, condition.part, condition.key};
    const auto found = this->rows.find(row_key);
    Row current{condition.table, condition.key, 0, "", condition.part};
    if (found != this->rows.end()) {
      current = found->second;
    }
    if (current.version != condition.version) {
      conflict.current.push_back(current);
    }
  }
  if (!conflict.current.empty()) {
    return conflict;
  }
  ++this->revision;
  for (const fireflythread::Write& write : transaction.writes) {
    this->Write({write.table, write.part, write.key}, write.value);
  }
  this->AnswerFollowers();
  return Committed{this->revision};
}

auto FakeTableStore::Write(const RowKey& row_key,
                           const std::optional<std::string>& value) -> void {
  const auto& [table, part, key] = row_key;
  const Row row{table, key, this->revision, value.value_or(""), part};
  if (value) {
    this->rows[row_key] = row;
  } else {
    // The platform does not define the removal of an absent row.
    REQUIRE(this->rows.erase(row_key) == 1);
  }
  this->changes.push_back({row, !value});
}

auto FakeTableStore::ReadRange(RangeRequest request,
                               Duration /*timeout*/,
                               Callback<RangePage> callback) -> void {
  if (this->before_read) {
    this->before_read(request);
  }
  ++this->reads;
  RangePage page;
  page.revision = this->revision;
  for (const auto& [row_key, row] : this->rows) {
    const bool matches = row.table == request.table &&
                         row.part == request.part && row.key >= request.from &&
                         (request.to.empty() || row.key < request.to);
    if (matches && page.rows.size() == kRowsPerPage) {
      page.more = true;
      break;
    }
    if (matches) {
      page.rows.push_back(row);
    }
  }
  this->rows_read[request.table] += page.rows.size();
  RunLater([page, done = std::move(callback)] { done(page); });
}

auto FakeTableStore::Follow(std::string table,
                            std::uint64_t after,
                            Duration /*wait*/,
                            Duration /*timeout*/,
                            Callback<FeedPage> callback) -> void {
  this->followers.push_back({std::move(table), after, std::move(callback)});
  this->AnswerFollowers();
}

auto FakeTableStore::ChangesAfter(const Follower& follower) const -> FeedPage {
  FeedPage page;
  page.revision = this->revision;
  for (const Change& change : this->changes) {
    if (change.row.table == follower.table &&
        change.row.version > follower.after) {
      (change.deleted ? page.deleted : page.changed).push_back(change.row);
    }
  }
  return page;
}

auto FakeTableStore::AnswerFollowers() -> void {
  std::vector<Follower> waiting;
  for (Follower& follower : this->followers) {
    FeedPage page = this->ChangesAfter(follower);
    if (page.changed.empty() && page.deleted.empty()) {
      waiting.push_back(std::move(follower));
      continue;
    }
    RunLater([page, done = std::move(follower.callback)] { done(page); });
  }
  this->followers = std::move(waiting);
}

auto FakeTableStore::Put(std::string_view table,
                         const std::string& part,
                         const std::string& key,
                         const std::string& value) -> std::uint64_t {
  ++this->revision;
  this->Write({std::string(table), part, key}, value);
  this->AnswerFollowers();
  return this->revision;
}

auto FakeTableStore::Has(std::string_view table,
                         const std::string& part,
                         const std::string& key) const -> bool {
  return this->rows.contains({std::string(table), part, key});
}

auto FakeTableStore::Value(std::string_view table,
                           const std::string& part,
                           const std::string& key) const -> std::string {
  const auto row = this->rows.find({std::string(table), part, key});
  return row == this->rows.end() ? "" : row->second.value;
}

auto FakeTableStore::CountRows(std::string_view table) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      this->rows.begin(), this->rows.end(),
      [table](const auto& entry) { return entry.second.table == table; }));
}

auto FakeTableStore::RowsRead(std::string_view table) const -> std::size_t {
  const auto found = this->rows_read.find(table);
  return found == this->rows_read.end() ? 0 : found->second;
}

auto FakeTableStore::RunUntil(const std::function<bool()>& condition) -> bool {
  const auto limit = std::chrono::steady_clock::now() + kMaxWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    if (!g_main_context_iteration(nullptr, FALSE)) {
      g_usleep(1000);
    }
  }
  return true;
}

auto FakeTableStore::RunCallbacks() -> void {
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

}  // namespace fireflythread::test
