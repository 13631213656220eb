#ifndef TEST_FIREFLYTHREAD_ENTRY_FAKE_TABLE_STORE_H_
#define TEST_FIREFLYTHREAD_ENTRY_FAKE_TABLE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "fireflythread/platform/table_store.h"

namespace fireflythread::test {

/// An in-memory table store with the limits of the platform's store. Callbacks
/// run on the default main loop.
class FakeTableStore : public TableStore {
 public:
  /// The table, part and key of a row.
  using RowKey = std::tuple<std::string, std::string, std::string>;

  auto Commit(Transaction transaction,
              Duration timeout,
              CommitCallback callback) -> void override;
  auto ReadRange(RangeRequest request,
                 Duration timeout,
                 Callback<RangePage> callback) -> void override;
  /// Returns every change of the table after a revision, including changes of
  /// rows that were deleted later. Answers only when there is a change, without
  /// a timeout.
  auto Follow(std::string table,
              std::uint64_t after,
              Duration wait,
              Duration timeout,
              Callback<FeedPage> callback) -> void override;

  /// Writes a row without conditions and returns its version.
  auto Put(std::string_view table,
           const std::string& part,
           const std::string& key,
           const std::string& value) -> std::uint64_t;
  [[nodiscard]] auto Has(std::string_view table,
                         const std::string& part,
                         const std::string& key) const -> bool;
  /// Returns the value of a row; empty if there is no such row.
  [[nodiscard]] auto Value(std::string_view table,
                           const std::string& part,
                           const std::string& key) const -> std::string;
  [[nodiscard]] auto CountRows(std::string_view table) const -> std::size_t;
  /// Returns the number of rows of a table that reads have returned so far.
  [[nodiscard]] auto RowsRead(std::string_view table) const -> std::size_t;

  /// Runs the main loop until the condition holds. Returns false after 10 s.
  static auto RunUntil(const std::function<bool()>& condition) -> bool;
  /// Runs all callbacks that are due.
  static auto RunCallbacks() -> void;

  /// The next transaction takes effect, but its answer is lost.
  bool lose_next_answer = false;
  /// Called before each read is carried out.
  std::function<void(const RangeRequest&)> before_read;
  /// All transactions so far, committed or refused.
  std::vector<Transaction> transactions;
  int reads = 0;

 private:
  struct Change {
    Row row;
    bool deleted = false;
  };

  struct Follower {
    std::string table;
    std::uint64_t after = 0;
    Callback<FeedPage> callback;
  };

  [[nodiscard]] auto Apply(const Transaction& transaction)
      -> TransactionOutcome;
  auto Write(const RowKey& row_key, const std::optional<std::string>& value)
      -> void;
  [[nodiscard]] auto ChangesAfter(const Follower& follower) const -> FeedPage;
  auto AnswerFollowers() -> void;
  static auto RunLater(std::function<void()> function) -> void;

  std::map<RowKey, Row> rows;
  std::vector<Change> changes;
  std::vector<Follower> followers;
  std::map<std::string, std::size_t, std::less<>> rows_read;
  std::uint64_t revision = 1;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_ENTRY_FAKE_TABLE_STORE_H_
