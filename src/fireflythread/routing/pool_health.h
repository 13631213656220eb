#ifndef FIREFLYTHREAD_ROUTING_POOL_HEALTH_H_
#define FIREFLYTHREAD_ROUTING_POOL_HEALTH_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// A worker was ejected, or readmitted.
struct HealthChange {
  VmId vm;
  bool ejected = false;
  std::string reason;
};

/// Health of the workers of one pool as seen from this entry. A worker that
/// fails or is slow is ejected, within a floor: at most a third of the pool,
/// with at least one worker left, so that a false signal cannot empty it.
/// Probes readmit it.
class PoolHealth {
 public:
  /// An answer without errors must follow within this many for a worker to
  /// stay.
  static constexpr int kConsecutiveFailureLimit = 5;
  /// The same while no other worker of the pool has failed for kSuspectTime. A
  /// request that fails anywhere is spread over the workers and so keeps the
  /// longer limit.
  static constexpr int kSoleFailureLimit = 3;
  /// Share of failures among the last attempts, and how many must be known.
  static constexpr double kFailureRatioLimit = 0.5;
  static constexpr int kRatioSamples = 10;
  /// A worker is slow when its mean time is this many times the pool's median
  /// and longer by kSlowMargin, over kSlowSamples answers.
  static constexpr double kSlowFactor = 4.0;
  static constexpr Duration kSlowMargin = std::chrono::milliseconds(20);
  static constexpr int kSlowSamples = 20;
  /// Time out of rotation before the first probe; doubles with each ejection
  /// that follows without kSuccessesToResetBackoff good answers in between.
  static constexpr Duration kFirstEjection = std::chrono::seconds(1);
  static constexpr Duration kMaxEjection = std::chrono::seconds(30);
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
  static constexpr int kProbesToReadmit = 2;
  static constexpr int kSuccessesToResetBackoff = 20;
  /// A worker that failed is taken last for so long.
  static constexpr Duration kSuspectTime = std::chrono::seconds(1);

  /// Replaces the pool's workers; those that stay keep their state.
  auto SetWorkers(const std::set<VmId>& vms) -> void;

  /// Records the end of an attempt. An answer with status 500 or higher is a
  /// failure. `elapsed` counts for answers only.
  auto RecordAttempt(const VmId& vm,
                     bool failed,
                     Duration elapsed,
                     TimePoint now) -> std::optional<HealthChange>;

  /// Records that a connection fell silent: the fault may be in the path, so
  /// the worker is probed on a new connection before it is blamed.
  auto RecordUnresponsive(const VmId& vm, TimePoint now) -> void;

  /// Workers to be probed now. Each is due again after kProbeInterval.
  [[nodiscard]] auto DueProbes(TimePoint now) -> std::vector<VmId>;
  auto RecordProbe(const VmId& vm, bool succeeded, TimePoint now)
      -> std::optional<HealthChange>;

  [[nodiscard]] auto IsEjected(const VmId& vm) const -> bool;
  /// True for a worker that has failed lately, is being probed after silence,
  /// or would be ejected but for the floor.
  [[nodiscard]] auto IsSuspect(const VmId& vm, TimePoint now) const -> bool;
  /// Why it is ejected; empty otherwise.
  [[nodiscard]] auto Reason(const VmId& vm) const -> std::string;
  [[nodiscard]] auto EjectedCount() const -> int;
  [[nodiscard]] auto Ejected() const -> std::set<VmId>;

 private:
  struct Worker {
    int consecutive_failures = 0;
    TimePoint last_failure = TimePoint::min();
    double failure_ratio = 0;
    int samples = 0;
    Duration mean_time{0};
    int timed_answers = 0;
    bool ejected = false;
    bool awaiting_probe = false;
    std::string reason;
    TimePoint probe_at = TimePoint::max();
    int consecutive_good_probes = 0;
    int ejections = 0;
    int consecutive_successes = 0;
  };

  [[nodiscard]] auto MayEject() const -> bool;
  [[nodiscard]] auto FailureReason(const Worker& worker, TimePoint now) const
      -> std::string;
  [[nodiscard]] auto IsOnlyFailingWorker(const Worker& worker,
                                         TimePoint now) const -> bool;
  [[nodiscard]] auto IsSlow(const Worker& worker) const -> bool;
  auto Eject(const VmId& vm,
             Worker& worker,
             std::string reason,
             TimePoint now) const -> std::optional<HealthChange>;

  std::map<VmId, Worker> workers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_POOL_HEALTH_H_
