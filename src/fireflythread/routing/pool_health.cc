#include "fireflythread/routing/pool_health.h"

#include <algorithm>
#include <utility>

namespace fireflythread {

namespace {

/// Weight of the newest attempt in the moving averages, which cover about the
/// last 20 attempts.
constexpr double kEwmaWeight = 0.1;
/// At most the pool's size divided by this may be ejected at a time.
constexpr int kMaxEjectedDivisor = 3;
/// A median of fewer workers is too unreliable to compare a worker with.
constexpr std::size_t kWorkersForMedian = 3;

}  // namespace

auto PoolHealth::SetWorkers(const std::set<VmId>& vms) -> void {
  std::erase_if(this->workers,
                [&](const auto& entry) { return !vms.contains(entry.first); });
  for (const VmId& vm : vms) {
    this->workers.try_emplace(vm);
  }
}

auto PoolHealth::RecordAttempt(const VmId& vm,
                               bool failed,
                               Duration elapsed,
                               TimePoint now) -> std::optional<HealthChange> {
  const auto found = this->workers.find(vm);
  if (found == this->workers.end()) {
    return std::nullopt;
  }
  Worker& worker = found->second;
  ++worker.samples;
  worker.failure_ratio +=
      kEwmaWeight * ((failed ? 1.0 : 0.0) - worker.failure_ratio);
  if (failed) {
    ++worker.consecutive_failures;
    worker.last_failure = now;
    worker.consecutive_successes = 0;
  } else {
    worker.consecutive_failures = 0;
    ++worker.timed_answers;
    const double weight = std::max(kEwmaWeight, 1.0 / worker.timed_answers);
    worker.mean_time += std::chrono::duration_cast<Duration>(
        weight * (elapsed - worker.mean_time));
    if (++worker.consecutive_successes >= kSuccessesToResetBackoff) {
      worker.ejections = 0;
    }
  }
  std::string reason = this->FailureReason(worker, now);
  if (worker.ejected || reason.empty()) {
    return std::nullopt;
  }
  return this->Eject(vm, worker, std::move(reason), now);
}

auto PoolHealth::IsOnlyFailingWorker(const Worker& worker, TimePoint now) const
    -> bool {
  return std::none_of(this->workers.begin(), this->workers.end(),
                      [&](const auto& entry) {
                        return &entry.second != &worker &&
                               entry.second.last_failure != TimePoint::min() &&
                               now < entry.second.last_failure + kSuspectTime;
                      });
}

auto PoolHealth::FailureReason(const Worker& worker, TimePoint now) const
    -> std::string {
  // A worker that was ejected lately is ejected again on its first failure.
  if (worker.consecutive_failures >= kConsecutiveFailureLimit ||
      (worker.consecutive_failures >= kSoleFailureLimit &&
       this->IsOnlyFailingWorker(worker, now)) ||
      (worker.ejections > 0 && worker.consecutive_failures > 0)) {
    return "consecutive failures";
  }
  if (worker.samples >= kRatioSamples &&
      worker.failure_ratio > kFailureRatioLimit) {
    return "failure ratio";
  }
  return this->IsSlow(worker) ? "slow" : "";
}

auto PoolHealth::IsSlow(const Worker& worker) const -> bool {
  // Evaluated only every kRatioSamples answers, because the median iterates
  // over all workers.
  if (worker.timed_answers < kSlowSamples ||
      worker.timed_answers % kRatioSamples != 0) {
    return false;
  }
  std::vector<Duration> means;
  for (const auto& [vm, other] : this->workers) {
    if (other.timed_answers >= kSlowSamples) {
      means.push_back(other.mean_time);
    }
  }
  if (means.size() < kWorkersForMedian) {
    return false;
  }
  const auto middle = means.begin() + static_cast<long>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return worker.mean_time > *middle * kSlowFactor &&
         worker.mean_time > *middle + kSlowMargin;
}

auto PoolHealth::MayEject() const -> bool {
  const auto size = static_cast<int>(this->workers.size());
  const int out = this->EjectedCount() + 1;
  return out <= size / kMaxEjectedDivisor && out < size;
}

auto PoolHealth::Eject(const VmId& vm,
                       Worker& worker,
                       std::string reason,
                       TimePoint now) const -> std::optional<HealthChange> {
  if (!this->MayEject()) {
    // The worker stays in rotation as a suspect, which is chosen last, until a
    // probe succeeds.
    worker.awaiting_probe = true;
    worker.probe_at = std::min(worker.probe_at, now + kProbeInterval);
    return std::nullopt;
  }
  const auto out = std::min<Duration>(
      kMaxEjection, kFirstEjection * (1 << std::min(worker.ejections, 5)));
  ++worker.ejections;
  worker.ejected = true;
  worker.awaiting_probe = false;
  worker.reason = reason;
  worker.consecutive_good_probes = 0;
  worker.probe_at = now + out;
  worker.timed_answers = 0;
  return HealthChange{vm, true, std::move(reason)};
}

auto PoolHealth::RecordUnresponsive(const VmId& vm, TimePoint now) -> void {
  const auto found = this->workers.find(vm);
  if (found != this->workers.end() && !found->second.ejected) {
    found->second.awaiting_probe = true;
    found->second.probe_at = std::min(found->second.probe_at, now);
  }
}

auto PoolHealth::DueProbes(TimePoint now) -> std::vector<VmId> {
  std::vector<VmId> due;
  for (auto& [vm, worker] : this->workers) {
    if (worker.probe_at <= now) {
      worker.probe_at = now + kProbeInterval;
      due.push_back(vm);
    }
  }
  return due;
}

auto PoolHealth::RecordProbe(const VmId& vm, bool succeeded, TimePoint now)
    -> std::optional<HealthChange> {
  const auto found = this->workers.find(vm);
  if (found == this->workers.end()) {
    return std::nullopt;
  }
  Worker& worker = found->second;
  if (!worker.ejected) {
    if (!worker.awaiting_probe) {
      return std::nullopt;
    }
    if (!succeeded) {
      return this->Eject(vm, worker, "no answer to requests and probe", now);
    }
    worker.awaiting_probe = false;
    worker.probe_at = TimePoint::max();
    return std::nullopt;
  }
  worker.consecutive_good_probes =
      succeeded ? worker.consecutive_good_probes + 1 : 0;
  if (worker.consecutive_good_probes < kProbesToReadmit) {
    return std::nullopt;
  }
  // Discards the statistics from before the ejection, except for the number of
  // ejections.
  const int ejections = worker.ejections;
  worker = Worker();
  worker.ejections = ejections;
  return HealthChange{vm, false, "probes answered"};
}

auto PoolHealth::IsEjected(const VmId& vm) const -> bool {
  const auto found = this->workers.find(vm);
  return found != this->workers.end() && found->second.ejected;
}

auto PoolHealth::IsSuspect(const VmId& vm, TimePoint now) const -> bool {
  const auto found = this->workers.find(vm);
  if (found == this->workers.end()) {
    return false;
  }
  const Worker& worker = found->second;
  return worker.awaiting_probe || (worker.consecutive_failures > 0 &&
                                   now < worker.last_failure + kSuspectTime);
}

auto PoolHealth::Reason(const VmId& vm) const -> std::string {
  const auto found = this->workers.find(vm);
  return found == this->workers.end() ? "" : found->second.reason;
}

auto PoolHealth::EjectedCount() const -> int {
  return static_cast<int>(
      std::count_if(this->workers.begin(), this->workers.end(),
                    [](const auto& entry) { return entry.second.ejected; }));
}

auto PoolHealth::Ejected() const -> std::set<VmId> {
  std::set<VmId> ejected;
  for (const auto& [vm, worker] : this->workers) {
    if (worker.ejected) {
      ejected.insert(vm);
    }
  }
  return ejected;
}

}  // namespace fireflythread
