#ifndef FIREFLYTHREAD_PLATFORM_PLATFORM_RECORDS_H_
#define FIREFLYTHREAD_PLATFORM_PLATFORM_RECORDS_H_

#include <cstdint>
#include <functional>
#include <variant>

#include "fireflythread/base/time.h"
#include "fireflythread/platform/operator_news.h"
#include "fireflythread/platform/platform_error.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/worker_news.h"

namespace fireflythread {

/// What others keep in the platform's store: the operators' configuration and
/// waves, and the workers' entries.
class PlatformRecords {
 public:
  template <typename T>
  using Callback = std::function<void(std::variant<T, PlatformError>)>;

  virtual ~PlatformRecords() = default;

  /// Reads the workers' entries; unusable ones are among the removed ones.
  virtual auto ListWorkers(Duration timeout, Callback<WorkerNews> callback)
      -> void = 0;

  /// Reads what changed of the workers' entries after a revision; waits up to
  /// `wait`.
  virtual auto FollowWorkers(std::uint64_t after,
                             Duration wait,
                             Duration timeout,
                             Callback<WorkerNews> callback) -> void = 0;

  /// Reads all that operators wrote.
  virtual auto ReadOperator(Duration timeout, Callback<OperatorNews> callback)
      -> void = 0;

  /// Reads what operators wrote after a revision; waits up to `wait`.
  virtual auto FollowOperator(std::uint64_t after,
                              Duration wait,
                              Duration timeout,
                              Callback<OperatorNews> callback) -> void = 0;

  /// The write that tells operators how far a maintenance wave is.
  [[nodiscard]] virtual auto WaveStatus(std::int64_t wave, bool completed) const
      -> Write = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_PLATFORM_RECORDS_H_
