#include "fireflythread/interference/filler_pace.h"

#include <algorithm>

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

constexpr int kFullSpeed = 100;

/// Raises are by this much, in percent.
constexpr int kStep = 20;

/// A limit takes effect after 100 ms. With reports every 500 ms, three
/// lowerings (40, 20 and 0 percent) end 1,000 ms after the first report of a
/// tail over its target.
constexpr milliseconds kLowerDelay{400};

/// Without a new report for this long, the last one counts again: a late report
/// must not keep the fillers at a speed that has proved too high.
constexpr milliseconds kLateReport{800};

/// Below this part of the target the limit is raised; between this and the
/// target it stays.
constexpr double kCalmPressure = 0.8;

constexpr milliseconds kRaiseDelay{2000};
constexpr milliseconds kMaxRaiseDelay{30'000};

/// A lowering this soon after a raise shows that the raise was the cause. Its
/// effect is in the reports within a second; later ones come from the load, and
/// would keep the fillers slow in the calm phases of a load that swings.
constexpr milliseconds kRaiseTrial{3000};

/// A raise is tried after this long, too, if the serving tasks are below their
/// targets, but not clearly.
constexpr milliseconds kUnclearRaiseDelay{30'000};

/// After this long at full speed, raises are tried quickly again.
constexpr milliseconds kForgetDelay{30'000};

auto Set(FillerPace& pace, int percent, TimePoint now) -> bool {
  pace.raised = percent > pace.percent;
  pace.percent = percent;
  pace.changed_at = now;
  return true;
}

/// Halves the limit, in whole steps: 100, 40, 20, 0.
auto Lower(FillerPace& pace, TimePoint now) -> bool {
  if (pace.raised && now - pace.changed_at < kRaiseTrial) {
    pace.raise_delay = std::min(2 * pace.raise_delay, kMaxRaiseDelay);
  }
  return Set(pace, pace.percent / kStep / 2 * kStep, now);
}

auto Raise(FillerPace& pace, TimePoint now) -> bool {
  return Set(pace, std::min(pace.percent + kStep, kFullSpeed), now);
}

}  // namespace

auto UpdatePace(FillerPace& pace, const ServingPressure& serving, TimePoint now)
    -> bool {
  const Duration unchanged = now - pace.changed_at;
  if (!serving.has_serving) {
    pace.calm_since = {};
    return pace.percent < kFullSpeed && Set(pace, kFullSpeed, now);
  }
  if (pace.percent == kFullSpeed && unchanged >= kForgetDelay) {
    pace.raise_delay = kRaiseDelay;
  }
  if (serving.pressure >= kCalmPressure) {
    pace.calm_since = {};
  } else if (pace.calm_since == TimePoint()) {
    pace.calm_since = now;
  }
  if (pace.percent == 0 && unchanged >= kMaxStandstill) {
    return Raise(pace, now);
  }
  if (serving.pressure > 1) {
    const bool is_new = serving.reported_at > pace.changed_at;
    return pace.percent > 0 && unchanged >= kLowerDelay &&
           (is_new || unchanged >= kLateReport) && Lower(pace, now);
  }
  // The harm of a raise shows within a second, so the next one in the same calm
  // phase waits half as long as the first.
  const bool is_calm = pace.calm_since != TimePoint() &&
                       now - pace.calm_since >= pace.raise_delay &&
                       unchanged >= pace.raise_delay / 2;
  return pace.percent < kFullSpeed &&
         (is_calm || unchanged >= kUnclearRaiseDelay) && Raise(pace, now);
}

}  // namespace fireflythread
