#include "fireflythread/gateway/batch_writer.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {

BatchWriter::BatchWriter(PlatformClient& platform_client,
                         TimerQueue& timer_queue,
                         Duration timeout)
    : platform(platform_client), timers(timer_queue), store_timeout(timeout) {}

auto BatchWriter::Submit(Transaction transaction, OutcomeCallback callback)
    -> void {
  this->waiting.push_back({std::move(transaction), std::move(callback)});
  if (this->waiting.size() >= kMaxBatch) {
    this->Flush();
  } else if (!this->flush_planned) {
    this->flush_planned = true;
    std::ignore = this->timers.RunAt(ReadBootClock() + kBatchWait, [this] {
      this->flush_planned = false;
      this->Flush();
    });
  }
}

auto BatchWriter::Flush() -> void {
  if (this->waiting.empty() || this->outstanding >= kMaxOutstanding) {
    return;
  }
  const auto end =
      this->waiting.begin() +
      static_cast<std::ptrdiff_t>(std::min(kMaxBatch, this->waiting.size()));
  std::vector<Transaction> transactions;
  std::vector<OutcomeCallback> callbacks;
  for (auto it = this->waiting.begin(); it != end; ++it) {
    transactions.push_back(std::move(it->transaction));
    callbacks.push_back(std::move(it->callback));
  }
  this->waiting.erase(this->waiting.begin(), end);
  ++this->outstanding;
  this->platform.CommitBatch(
      std::move(transactions), this->store_timeout,
      [this, token = std::weak_ptr<bool>(this->alive),
       callbacks](const std::vector<TransactionOutcome>& outcomes) {
        if (!token.expired()) {
          this->OnOutcomes(callbacks, outcomes);
        }
      });
}

auto BatchWriter::OnOutcomes(const std::vector<OutcomeCallback>& callbacks,
                             const std::vector<TransactionOutcome>& outcomes)
    -> void {
  --this->outstanding;
  const TransactionOutcome missing = CommitUnknown{"no outcome"};
  for (std::size_t i = 0; i < callbacks.size(); ++i) {
    callbacks[i](i < outcomes.size() ? outcomes[i] : missing);
  }
  this->Flush();
}

}  // namespace fireflythread
