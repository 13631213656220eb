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

/// The bounded queue of one pool. Counter requests go before deadline ones
/// and these before batch, but batch always gets a small part of the picks and
/// a class that waits long gains some.
class AdmissionQueue {
 public:
  /// `refused` is set when the request was not queued. `evicted` had to leave
  /// to make room for it, and is to be answered "not run".
  struct OfferResult {
    std::optional<RefusalReason> refused;
    std::optional<QueuedRequest> evicted;
  };

  explicit AdmissionQueue(AdmissionLimits limits);

  auto SetTeamWeights(std::map<TeamName, double> weights) -> void;

  /// Queues a request, unless the queue is full or the request cannot be
  /// answered within its deadline.
  [[nodiscard]] auto Offer(const QueuedRequest& request,
                           const PoolLoad& load,
                           TimePoint now) -> OfferResult;

  /// Queues a request that was admitted before and must be sent again.
  auto Enqueue(const QueuedRequest& request) -> void;

  /// Takes the request to be sent next.
  [[nodiscard]] auto Take(TimePoint now) -> std::optional<QueuedRequest>;

  /// Takes out the requests that can no longer be answered in time.
  [[nodiscard]] auto TakeDeadlineUnreachable(TimePoint now)
      -> std::vector<QueuedRequest>;

  /// Takes a request out; false if it is not queued.
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
  /// Picks that a class is owed for its share.
  std::array<double, kRequestClasses> credit{};
  std::unordered_map<std::uint64_t, QueuedRequest> requests;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_ADMISSION_QUEUE_H_
