#ifndef FIREFLYTHREAD_PLATFORM_TABLE_STORE_H_
#define FIREFLYTHREAD_PLATFORM_TABLE_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "fireflythread/base/time.h"
#include "fireflythread/platform/feed_page.h"
#include "fireflythread/platform/platform_error.h"
#include "fireflythread/platform/range_page.h"
#include "fireflythread/platform/range_request.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread {

/// A transactional store of rows with a feed of changes. Every call returns at
/// once and runs its callback later, exactly once, on the main loop. A
/// transaction without an answer ends when `timeout` has passed, a read when
/// nothing of its answer has arrived for `timeout`.
class TableStore {
 public:
  template <typename T>
  using Callback = std::function<void(std::variant<T, PlatformError>)>;
  using CommitCallback = std::function<void(TransactionOutcome)>;

  virtual ~TableStore() = default;

  /// Applies one conditional transaction. Never sends it twice.
  virtual auto Commit(Transaction transaction,
                      Duration timeout,
                      CommitCallback callback) -> void = 0;

  virtual auto ReadRange(RangeRequest request,
                         Duration timeout,
                         Callback<RangePage> callback) -> void = 0;

  /// Reads the changes of a table after a revision; waits up to `wait` for one.
  virtual auto Follow(std::string table,
                      std::uint64_t after,
                      Duration wait,
                      Duration timeout,
                      Callback<FeedPage> callback) -> void = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_TABLE_STORE_H_
