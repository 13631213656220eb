#ifndef FIREFLYTHREAD_ENTRY_PUBLISHED_ROW_H_
#define FIREFLYTHREAD_ENTRY_PUBLISHED_ROW_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// A row of the store that one process writes again and again.
///
/// The store may carry out a write without an answer after newer ones. So each
/// write requires the version that the row had before, which a late one doesn't
/// find any more. The row is never removed: a late write that requires its
/// absence would bring an outdated value back.
class PublishedRow {
 public:
  /// Called with the outcome of a write.
  using Callback = std::function<void(const TransactionOutcome&)>;
  /// Returns whether a row with this value may be replaced.
  using MayReplace = std::function<bool(const std::string& value)>;

  /// The row is taken to be absent at first.
  PublishedRow(TableStore& store,
               const Logger& logger,
               std::string table,
               std::string key,
               std::string part,
               MayReplace may_replace = nullptr);
  PublishedRow(const PublishedRow&) = delete;
  auto operator=(const PublishedRow&) -> PublishedRow& = delete;

  /// Returns whether a write has no outcome yet. There is one at a time.
  [[nodiscard]] auto IsWriting() const -> bool { return this->writing; }
  /// Returns whether the row certainly holds what was written last, or nothing
  /// if nothing was.
  [[nodiscard]] auto IsKnown() const -> bool { return this->known; }

  /// Replaces the value, if these conditions hold as well. A row with another
  /// version than it was known to have is replaced if it may be.
  auto Write(std::string value,
             std::vector<Condition> conditions,
             Duration timeout,
             Callback callback) -> void;

 private:
  struct Pending;

  auto Send(const std::shared_ptr<Pending>& pending) -> void;
  auto ApplyOutcome(const TransactionOutcome& outcome) -> void;
  /// Learns the row's version; returns whether nothing else was in conflict and
  /// the row may be replaced.
  auto ApplyConflict(const Conflict& conflict) -> bool;

  TableStore& store;
  const Logger& logger;
  std::string table;
  std::string key;
  std::string part;
  MayReplace may_replace;
  /// Version that the row had when it was last heard of.
  std::uint64_t version = 0;
  bool known = true;
  bool writing = false;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_PUBLISHED_ROW_H_
