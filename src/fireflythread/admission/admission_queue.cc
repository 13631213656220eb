#include "fireflythread/admission/admission_queue.h"

#include <algorithm>
#include <utility>

namespace fireflythread {

namespace {

constexpr auto kBatchIndex = static_cast<std::size_t>(RequestClass::kBatch);

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionLimits queue_limits)
    : limits(queue_limits) {}

auto AdmissionQueue::SetTeamWeights(std::map<TeamName, double> team_weights)
    -> void {
  this->weights = std::move(team_weights);
}

auto AdmissionQueue::WeightOf(const TeamName& team) const -> double {
  const auto found = this->weights.find(team);
  return found == this->weights.end() ? 1.0 : found->second;
}

auto AdmissionQueue::ClassOf(const QueuedRequest& request) const
    -> std::size_t {
  return this->limits.order == QueueOrder::kFifo
             ? 0
             : static_cast<std::size_t>(request.request_class);
}

auto AdmissionQueue::Offer(const QueuedRequest& request,
                           const PoolLoad& load,
                           TimePoint now) -> OfferResult {
  OfferResult result;
  if (this->limits.shed_early &&
      now + this->EstimateWait(request, load) + request.estimated_time >
          request.deadline) {
    result.refused = RefusalReason::kDeadlineUnreachable;
    return result;
  }
  if (this->requests.size() >= this->limits.max_queued) {
    result.evicted = this->Evict(request);
    if (!result.evicted) {
      result.refused = RefusalReason::kQueueFull;
      return result;
    }
  }
  this->Enqueue(request);
  return result;
}

auto AdmissionQueue::Enqueue(const QueuedRequest& request) -> void {
  QueuedRequest ordered = request;
  if (this->limits.order == QueueOrder::kFifo) {
    ordered.deadline = request.queued_at;
    ordered.team = TeamName();
    ordered.estimated_time = Duration(0);
  }
  this->classes[this->ClassOf(request)].Push(ordered);
  this->requests.emplace(request.id, request);
}

auto AdmissionQueue::EstimateWait(const QueuedRequest& request,
                                  const PoolLoad& load) const -> Duration {
  if (load.slots <= 0) {
    return Duration::zero();
  }
  const auto weight_of = [this](const TeamName& team) {
    return this->WeightOf(team);
  };
  const std::size_t index = this->ClassOf(request);
  const double own = this->classes[index].CountAhead(request, weight_of);
  double ahead = own;
  for (std::size_t higher = 0; higher < index; ++higher) {
    ahead += static_cast<double>(this->classes[higher].Size());
  }
  if (index == kBatchIndex) {
    ahead = std::min(ahead, own / this->limits.batch_share);
  } else if (this->classes[kBatchIndex].Size() > 0) {
    ahead /= 1 - this->limits.batch_share;
  }
  const double busy = std::min(load.busy, load.slots);
  const double completions_needed = ahead + busy + 1 - load.slots;
  return std::chrono::duration_cast<Duration>(
      std::max(0.0, completions_needed) / load.slots * load.mean_time);
}

auto AdmissionQueue::Evict(const QueuedRequest& request)
    -> std::optional<QueuedRequest> {
  for (std::size_t lower = kRequestClasses - 1; lower > this->ClassOf(request);
       --lower) {
    if (auto evicted = this->classes[lower].PopLast()) {
      this->requests.erase(evicted->id);
      return evicted;
    }
  }
  return std::nullopt;
}

auto AdmissionQueue::ShareOf(std::size_t index, TimePoint now) const -> double {
  const auto oldest = this->classes[index].OldestArrival();
  if (index == 0 || !oldest || this->limits.order != QueueOrder::kFair) {
    return 0;
  }
  const double periods =
      std::chrono::duration<double>(now - *oldest) / this->limits.aging_period;
  const double base = index == kBatchIndex ? this->limits.batch_share : 0;
  return std::min(kMaxAgedShare,
                  base + kAgingSharePerPeriod * std::max(0.0, periods));
}

auto AdmissionQueue::ChooseClass(TimePoint now) -> std::optional<std::size_t> {
  std::optional<std::size_t> chosen;
  for (std::size_t index = 0; index < kRequestClasses; ++index) {
    if (this->classes[index].Size() == 0) {
      this->credit[index] = 0;
    } else if (!chosen) {
      chosen = index;
    }
  }
  // Each time a higher class is served, the waiting classes below it gain
  // their share as credit; a class with a credit of 1 is served instead.
  for (std::size_t index = kRequestClasses; chosen && index-- > *chosen + 1;) {
    this->credit[index] += this->ShareOf(index, now);
    if (this->credit[index] >= 1) {
      this->credit[index] -= 1;
      return index;
    }
  }
  return chosen;
}

auto AdmissionQueue::Take(TimePoint now) -> std::optional<QueuedRequest> {
  const auto index = this->ChooseClass(now);
  if (!index) {
    return std::nullopt;
  }
  const auto taken = this->classes[*index].Pop(
      [this](const TeamName& team) { return this->WeightOf(team); });
  const auto found = this->requests.find(taken->id);
  const QueuedRequest request = found->second;
  this->requests.erase(found);
  return request;
}

auto AdmissionQueue::TakeDeadlineUnreachable(TimePoint now)
    -> std::vector<QueuedRequest> {
  std::vector<QueuedRequest> unreachable;
  if (this->limits.order == QueueOrder::kFifo) {
    return unreachable;
  }
  for (ClassQueue& queue : this->classes) {
    for (const QueuedRequest& request : queue.TakeDeadlineUnreachable(now)) {
      this->requests.erase(request.id);
      unreachable.push_back(request);
    }
  }
  return unreachable;
}

auto AdmissionQueue::Remove(std::uint64_t id) -> bool {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return false;
  }
  QueuedRequest request = found->second;
  this->requests.erase(found);
  if (this->limits.order == QueueOrder::kFifo) {
    request.deadline = request.queued_at;
    request.team = TeamName();
  }
  return this->classes[this->ClassOf(request)].Remove(request);
}

}  // namespace fireflythread
