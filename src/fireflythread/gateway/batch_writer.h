#ifndef FIREFLYTHREAD_GATEWAY_BATCH_WRITER_H_
#define FIREFLYTHREAD_GATEWAY_BATCH_WRITER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/gateway/timer_queue.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {

/// Commits transactions of many requests in few round trips: the platform's
/// store takes several hundred writes a second.
class BatchWriter {
 public:
  using OutcomeCallback = std::function<void(const TransactionOutcome&)>;

  static constexpr std::size_t kMaxBatch = 64;
  static constexpr Duration kBatchWait = std::chrono::milliseconds(2);
  /// Batches on their way at once.
  static constexpr int kMaxOutstanding = 4;

  BatchWriter(PlatformClient& platform,
              TimerQueue& timers,
              Duration store_timeout);

  /// Commits the transaction on its own, soon. Never sends it twice. The
  /// callback does not run once this object is gone.
  auto Submit(Transaction transaction, OutcomeCallback callback) -> void;

  /// Transactions that wait to be sent.
  [[nodiscard]] auto Waiting() const -> std::size_t {
    return this->waiting.size();
  }

 private:
  struct Item {
    Transaction transaction;
    OutcomeCallback callback;
  };

  auto Flush() -> void;
  auto OnOutcomes(const std::vector<OutcomeCallback>& callbacks,
                  const std::vector<TransactionOutcome>& outcomes) -> void;

  PlatformClient& platform;
  TimerQueue& timers;
  Duration store_timeout;
  std::vector<Item> waiting;
  bool flush_planned = false;
  int outstanding = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_BATCH_WRITER_H_
