#include "fireflythread/gateway/record_store.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {

namespace {

using RowResult = std::variant<std::optional<Row>, PlatformError>;
using PutResult = std::variant<std::monostate, PlatformError>;
using BodyResult = std::variant<std::optional<std::string>, PlatformError>;

constexpr Duration kFirstRetry = std::chrono::milliseconds(200);
constexpr Duration kLongestRetry = std::chrono::seconds(5);

auto NextWait(Duration wait) -> Duration {
  return std::min(2 * wait, kLongestRetry);
}

auto BodyObject(const std::string& row_key, const std::string& nonce)
    -> std::string {
  return "answers/" + row_key + "/" + nonce;
}

}  // namespace

RecordStore::RecordStore(PlatformClient& platform_client,
                         BatchWriter& batch_writer,
                         TimerQueue& timer_queue,
                         Duration timeout)
    : platform(platform_client),
      writer(batch_writer),
      timers(timer_queue),
      store_timeout(timeout) {}

template <typename Function>
auto RecordStore::WhileAlive(Function function) const {
  return [token = std::weak_ptr<bool>(this->alive),
          function = std::move(function)](auto&& result) {
    if (!token.expired()) {
      function(std::forward<decltype(result)>(result));
    }
  };
}

auto RecordStore::Later(Duration wait, std::function<void()> work) -> void {
  std::ignore = this->timers.RunAt(ReadBootClock() + wait, std::move(work));
}

auto RecordStore::Claim(const std::string& row_key,
                        const IdempotencyRecord& claim,
                        ClaimCallback callback) -> void {
  if (const auto found = this->unwritten.find(row_key);
      found != this->unwritten.end()) {
    callback(ClaimTaken{found->second});
    return;
  }
  if (this->writer.Waiting() >= kMaxWaiting) {
    callback(ClaimNotRecorded{"too many claims wait for the store"});
    return;
  }
  this->writer.Submit(
      RecordTransaction(row_key, claim, 0),
      [this, row_key, claim, callback](const TransactionOutcome& outcome) {
        this->ContinueClaim(row_key, claim,
                            InterpretClaimOutcome(outcome, claim), true,
                            callback);
      });
}

auto RecordStore::ContinueClaim(const std::string& row_key,
                                const IdempotencyRecord& claim,
                                const ClaimStep& step,
                                bool read_back,
                                const ClaimCallback& callback) -> void {
  if (const auto* held = std::get_if<ClaimHeld>(&step)) {
    callback(*held);
  } else if (const auto* taken = std::get_if<ClaimTaken>(&step)) {
    callback(*taken);
  } else if (const auto* not_recorded = std::get_if<ClaimNotRecorded>(&step)) {
    callback(*not_recorded);
  } else if (const auto* anew = std::get_if<ClaimAvailable>(&step)) {
    this->writer.Submit(
        RecordTransaction(row_key, claim, anew->version),
        [this, row_key, claim, callback](const TransactionOutcome& outcome) {
          ClaimStep next = InterpretClaimOutcome(outcome, claim);
          if (std::holds_alternative<ClaimAvailable>(next)) {
            // Somebody else claims and gives up at the same time.
            next = ClaimNotRecorded{"the record keeps changing"};
          }
          this->ContinueClaim(row_key, claim, next, true, callback);
        });
  } else if (read_back) {
    this->ReadBack(row_key, claim, callback);
  } else {
    // Nothing was sent, so "not run" is true whatever became of the record.
    this->CleanUp(row_key, claim, kFirstRetry);
    callback(ClaimNotRecorded{std::get<ClaimUncertain>(step).reason});
  }
}

auto RecordStore::ReadBack(const std::string& row_key,
                           const IdempotencyRecord& claim,
                           const ClaimCallback& callback) -> void {
  this->platform.Read(
      kRequestTable, row_key, this->store_timeout,
      this->WhileAlive([this, row_key, claim,
                        callback](const RowResult& result) {
        const auto* row = std::get_if<std::optional<Row>>(&result);
        const ClaimStep step = row != nullptr
                                   ? InterpretReadBack(*row, claim)
                                   : ClaimUncertain{"the store is unavailable"};
        this->ContinueClaim(row_key, claim, step, false, callback);
      }));
}

auto RecordStore::ReadWhileWaiting(const std::string& row_key,
                                   const IdempotencyRecord& claim,
                                   ClaimStepCallback callback) -> void {
  this->platform.Read(
      kRequestTable, row_key, this->store_timeout,
      this->WhileAlive([claim, callback](const RowResult& result) {
        const auto* row = std::get_if<std::optional<Row>>(&result);
        callback(row != nullptr ? InterpretWaitingRead(*row, claim)
                                : ClaimUncertain{"the store is unavailable"});
      }));
}

auto RecordStore::CleanUp(const std::string& row_key,
                          const IdempotencyRecord& claim,
                          Duration wait) -> void {
  this->Later(wait, [this, row_key, claim, wait] {
    this->platform.Read(
        kRequestTable, row_key, this->store_timeout,
        this->WhileAlive([this, row_key, claim, wait](const RowResult& result) {
          if (const auto* row = std::get_if<std::optional<Row>>(&result)) {
            this->CommitCleanUp(row_key, claim, *row, wait);
          } else {
            this->CleanUp(row_key, claim, NextWait(wait));
          }
        }));
  });
}

auto RecordStore::CommitCleanUp(const std::string& row_key,
                                const IdempotencyRecord& claim,
                                const std::optional<Row>& row,
                                Duration wait) -> void {
  auto transaction = CleanUpTransaction(row_key, row, claim);
  if (!transaction) {
    return;
  }
  this->writer.Submit(
      std::move(*transaction),
      [this, row_key, claim, wait](const TransactionOutcome& outcome) {
        if (!std::holds_alternative<Committed>(outcome)) {
          this->CleanUp(row_key, claim, NextWait(wait));
        }
      });
}

auto RecordStore::Finish(HeldClaim claim) -> void {
  this->unwritten[claim.row_key] = claim.record;
  auto& answer = claim.record.answer;
  if (!answer || answer->body.size() <= kMaxInlineBody) {
    this->WriteEnd(claim, kFirstRetry);
    return;
  }
  answer->body_object = BodyObject(claim.row_key, claim.record.nonce);
  std::string body = std::exchange(answer->body, "");
  this->platform.PutObject(
      answer->body_object, std::move(body), this->store_timeout,
      this->WhileAlive([this, claim](const PutResult& result) {
        HeldClaim ended = claim;
        if (std::holds_alternative<PlatformError>(result)) {
          // The caller has its answer; a repeat cannot get it any more.
          ended.record.state = RecordState::kUnknown;
          ended.record.answer.reset();
        }
        this->WriteEnd(ended, kFirstRetry);
      }));
}

auto RecordStore::WriteEnd(const HeldClaim& claim, Duration wait) -> void {
  this->writer.Submit(
      RecordTransaction(claim.row_key, claim.record, claim.version),
      [this, claim, wait](const TransactionOutcome& outcome) {
        // Only this claim's holder writes at its version, so a
        // conflict says that an earlier write of the same end arrived.
        if (std::holds_alternative<Committed>(outcome) ||
            std::holds_alternative<Conflict>(outcome)) {
          this->EndWritten(claim.row_key);
        } else {
          this->Later(wait, [this, claim, wait] {
            this->WriteEnd(claim, NextWait(wait));
          });
        }
      });
}

auto RecordStore::EndWritten(const std::string& row_key) -> void {
  this->unwritten.erase(row_key);
  if (this->unwritten.empty() && this->on_written) {
    std::exchange(this->on_written, nullptr)();
  }
}

auto RecordStore::ReadBody(const std::string& object, BodyCallback callback)
    -> void {
  this->platform.GetObject(
      object, this->store_timeout,
      this->WhileAlive([callback](const BodyResult& result) {
        const auto* body = std::get_if<std::optional<std::string>>(&result);
        callback(body != nullptr ? *body : std::nullopt);
      }));
}

auto RecordStore::NotifyWhenWritten(Duration limit,
                                    std::function<void()> callback) -> void {
  if (this->unwritten.empty()) {
    callback();
    return;
  }
  this->on_written = std::move(callback);
  this->Later(limit, [this] {
    if (this->on_written) {
      std::exchange(this->on_written, nullptr)();
    }
  });
}

}  // namespace fireflythread
