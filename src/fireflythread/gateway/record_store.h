#ifndef FIREFLYTHREAD_GATEWAY_RECORD_STORE_H_
#define FIREFLYTHREAD_GATEWAY_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "fireflythread/base/time.h"
#include "fireflythread/gateway/batch_writer.h"
#include "fireflythread/gateway/request_state.h"
#include "fireflythread/gateway/timer_queue.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/retry/record_steps.h"

namespace fireflythread {

/// Writes idempotency records to the platform's table.
class RecordStore {
 public:
  using ClaimResult = std::variant<ClaimHeld, ClaimTaken, ClaimNotRecorded>;
  using ClaimCallback = std::function<void(const ClaimResult&)>;
  using ClaimStepCallback = std::function<void(const ClaimStep&)>;
  using BodyCallback = std::function<void(const std::optional<std::string>&)>;

  /// Transactions that may wait before further claims are turned away.
  static constexpr std::size_t kMaxWaiting = 512;
  /// Longer answers are kept in the object store.
  static constexpr std::size_t kMaxInlineBody = std::size_t{32} * 1024;

  RecordStore(PlatformClient& platform,
              BatchWriter& writer,
              TimerQueue& timers,
              Duration store_timeout);

  /// Records a claim. After ClaimHeld, and only then, the request may be sent.
  /// A claim of unknown outcome is read back once; if that does not tell, the
  /// result is ClaimNotRecorded and the record is marked "not run" later.
  auto Claim(const std::string& row_key,
             const IdempotencyRecord& claim,
             ClaimCallback callback) -> void;

  /// Reads the record of another claim. The result is ClaimTaken,
  /// ClaimAvailable, or ClaimUncertain while the store does not answer.
  auto ReadWhileWaiting(const std::string& row_key,
                        const IdempotencyRecord& claim,
                        ClaimStepCallback callback) -> void;

  /// Writes the end of a claimed request, again and again until it is known
  /// to be written. A repeat through this entry sees it at once.
  auto Finish(HeldClaim claim) -> void;

  /// Reads the body of a recorded answer that is kept in the object store.
  auto ReadBody(const std::string& object, BodyCallback callback) -> void;

  /// Runs `callback` once all ends of requests are written, at the latest
  /// after `limit`.
  auto NotifyWhenWritten(Duration limit, std::function<void()> callback)
      -> void;

 private:
  auto ContinueClaim(const std::string& row_key,
                     const IdempotencyRecord& claim,
                     const ClaimStep& step,
                     bool read_back,
                     const ClaimCallback& callback) -> void;
  auto ReadBack(const std::string& row_key,
                const IdempotencyRecord& claim,
                const ClaimCallback& callback) -> void;
  auto CleanUp(const std::string& row_key,
               const IdempotencyRecord& claim,
               Duration wait) -> void;
  auto CommitCleanUp(const std::string& row_key,
                     const IdempotencyRecord& claim,
                     const std::optional<Row>& row,
                     Duration wait) -> void;
  auto WriteEnd(const HeldClaim& claim, Duration wait) -> void;
  auto EndWritten(const std::string& row_key) -> void;
  /// Wraps a callback of the platform so that it does nothing once this object
  /// is gone.
  template <typename Function>
  [[nodiscard]] auto WhileAlive(Function function) const;
  auto Later(Duration wait, std::function<void()> work) -> void;

  PlatformClient& platform;
  BatchWriter& writer;
  TimerQueue& timers;
  Duration store_timeout;
  /// Ends of requests that are not yet written.
  std::map<std::string, IdempotencyRecord> unwritten;
  std::function<void()> on_written;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_RECORD_STORE_H_
