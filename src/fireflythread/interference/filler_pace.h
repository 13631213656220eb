#ifndef FIREFLYTHREAD_INTERFERENCE_FILLER_PACE_H_
#define FIREFLYTHREAD_INTERFERENCE_FILLER_PACE_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// The speed limit of all fillers on one worker.
struct FillerPace {
  int percent = 100;
  TimePoint changed_at;
  /// The last change was a raise.
  bool raised = false;
  /// Time of low pressure that precedes the next raise. Doubles when a raise is
  /// followed by a lowering, so that the limit does not oscillate.
  std::chrono::milliseconds raise_delay{2000};
  /// Since when all serving tasks have been clearly below their targets; the
  /// epoch while they are not.
  TimePoint calm_since;
};

/// The state of the serving tasks beside the fillers.
struct ServingPressure {
  /// The worker has a serving task with a target.
  bool has_serving = false;
  /// Highest reported tail latency, as a multiple of its task's target; 0 while
  /// there is no figure.
  double pressure = 0;
  /// Arrival time of the report.
  TimePoint reported_at;
};

/// Longest time for which the fillers stand still; then they are tried at the
/// lowest speed, also while a serving task is still over its target.
constexpr std::chrono::seconds kMaxStandstill{10};

/// Updates the limit and returns whether it has changed. To be called with each
/// report and periodically, at least every 200 ms.
auto UpdatePace(FillerPace& pace, const ServingPressure& serving, TimePoint now)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_INTERFERENCE_FILLER_PACE_H_
