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

/// Reports that a worker was ejected or readmitted.
struct HealthChange {
  VmId vm;
  bool ejected = false;
  std::string reason;
};

/// Tracks the health of one pool's workers as observed by this entry. A worker
/// that fails or is slow is ejected, and readmitted after successful probes. At
/// most a third of the pool is ejected and at least one worker stays, so that a
/// false signal cannot empty the pool.
class PoolHealth {
 public:
  /// Consecutive failures after which a worker is ejected.
  static constexpr int kConsecutiveFailureLimit = 5;
  /// The same limit while no other worker of the pool has failed within
  /// kSuspectTime. A request that fails on any worker makes several of them
  /// fail, so that the higher limit applies.
  static constexpr int kSoleFailureLimit = 3;
  /// Ratio of failed attempts above which a worker is ejected, and the number
  /// of attempts that must have been recorded.
  static constexpr double kFailureRatioLimit = 0.5;
  static constexpr int kRatioSamples = 10;
  /// A worker is slow when its mean answer time exceeds the pool's median by
  /// this factor and by kSlowMargin, after at least kSlowSamples answers.
  static constexpr double kSlowFactor = 4.0;
  static constexpr Duration kSlowMargin = std::chrono::milliseconds(20);
  static constexpr int kSlowSamples = 20;
  /// How long an ejected worker stays out of rotation before the first probe.
  /// The time doubles with each further ejection, up to kMaxEjection, and
  /// is reset after kSuccessesToResetBackoff successful answers in a row.
  static constexpr Duration kFirstEjection = std::chrono::seconds(1);
  static constexpr Duration kMaxEjection = std::chrono::seconds(30);
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
  static constexpr int kProbesToReadmit = 2;
  static constexpr int kSuccessesToResetBackoff = 20;
  /// How long a worker counts as suspect, and is chosen last, after a failure.
  static constexpr Duration kSuspectTime = std::chrono::seconds(1);

  /// Replaces the pool's workers; those that stay keep their state.
  auto SetWorkers(const std::set<VmId>& vms) -> void;

  /// Records the result of an attempt. An answer with status 500 or higher is a
  /// failure. `elapsed` is used only when the attempt did not fail.
  auto RecordAttempt(const VmId& vm,
                     bool failed,
                     Duration elapsed,
                     TimePoint now) -> std::optional<HealthChange>;

  /// Records that a connection to the worker became unresponsive. The fault may
  /// be in the network, so the worker is ejected only if a probe on a new
  /// connection fails too.
  auto RecordUnresponsive(const VmId& vm, TimePoint now) -> void;

  /// Returns the workers to be probed now. Each is due again after
  /// kProbeInterval.
  [[nodiscard]] auto DueProbes(TimePoint now) -> std::vector<VmId>;
  /// Records the result of a probe.
  auto RecordProbe(const VmId& vm, bool succeeded, TimePoint now)
      -> std::optional<HealthChange>;

  [[nodiscard]] auto IsEjected(const VmId& vm) const -> bool;
  /// Returns true for a worker that has failed lately, awaits a probe because a
  /// connection was unresponsive, or could not be ejected because too many
  /// others are.
  [[nodiscard]] auto IsSuspect(const VmId& vm, TimePoint now) const -> bool;
  /// Returns why the worker was last ejected; empty if it was not ejected since
  /// it was added or readmitted.
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
