#ifndef FIREFLYTHREAD_ADMISSION_ADMISSION_QUEUE_H_
#define FIREFLYTHREAD_ADMISSION_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fireflythread/admission/admission_limits.h"
#include "fireflythread/admission/class_queue.h"
#include "fireflythread/admission/pool_load.h"
#include "fireflythread/admission/queued_request.h"
#include "fireflythread/admission/refusal_reason.h"

namespace fireflythread {

/// The bounded queue of one pool. It serves the counter class before the
/// deadline class and that before the batch class. The batch class is
/// guaranteed a small share of the dequeued requests, and the share of a lower
/// class grows with the time that it waits.
class AdmissionQueue {
 public:
  /// `refused` is set when the request was not queued. `evicted` is a request
  /// that was removed to free capacity for it; the caller must answer that one
  /// with "not run".
  struct OfferResult {
    std::optional<RefusalReason> refused;
    std::optional<QueuedRequest> evicted;
  };

  explicit AdmissionQueue(AdmissionLimits limits);

  /// Replaces the weights for sharing a class between teams. A team that is
  /// not listed has weight 1.
  auto SetTeamWeights(std::map<TeamName, double> weights) -> void;

  /// Queues a request, unless the queue is full or the request is not expected
  /// to be answered within its deadline.
  [[nodiscard]] auto Offer(const QueuedRequest& request,
                           const PoolLoad& load,
                           TimePoint now) -> OfferResult;

  /// Queues a request without admission checks; used for a request that was
  /// admitted before and must be sent again.
  auto Enqueue(const QueuedRequest& request) -> void;

  /// Removes and returns the request to be sent next; no value when the queue
  /// is empty.
  [[nodiscard]] auto Take(TimePoint now) -> std::optional<QueuedRequest>;

  /// Removes and returns the requests that are no longer expected to be
  /// answered within their deadline.
  [[nodiscard]] auto TakeDeadlineUnreachable(TimePoint now)
      -> std::vector<QueuedRequest>;

  /// Removes a request; returns false if it is not queued.
  auto Remove(std::uint64_t id) -> bool;

  [[nodiscard]] auto Size() const -> std::size_t {
    return this->requests.size();
  }

 private:
  using Classes = std::array<ClassQueue, kRequestClasses>;

  [[nodiscard]] auto ClassOf(const QueuedRequest& request) const -> std::size_t;
  [[nodiscard]] auto ChooseClass(TimePoint now) -> std::optional<std::size_t>;
  [[nodiscard]] auto ShareOf(std::size_t index, TimePoint now) const -> double;
  [[nodiscard]] auto EstimateWait(const QueuedRequest& request,
                                  const PoolLoad& load) const -> Duration;
  [[nodiscard]] auto Evict(const QueuedRequest& request)
      -> std::optional<QueuedRequest>;
  [[nodiscard]] auto WeightOf(const TeamName& team) const -> double;

  AdmissionLimits limits;
  std::map<TeamName, double> weights;
  Classes classes;
  /// Per class, the accumulated share of dequeued requests that it has not
  /// been served yet.
  std::array<double, kRequestClasses> credit{};
  std::unordered_map<std::uint64_t, QueuedRequest> requests;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_ADMISSION_QUEUE_H_
