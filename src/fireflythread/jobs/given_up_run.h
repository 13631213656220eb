#ifndef FIREFLYTHREAD_JOBS_GIVEN_UP_RUN_H_
#define FIREFLYTHREAD_JOBS_GIVEN_UP_RUN_H_

#include <cstdint>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/jobs/task_name.h"
#include "fireflythread/jobs/task_state.h"

namespace fireflythread {

/// What shows that a run does not exist, so that its task may run again.
enum class GiveUpReason : std::uint8_t {
  /// Every lease of the unresponsive worker has certainly expired.
  kLeaseExpired,
  /// Another instance answers at the worker's address.
  kOtherInstance,
  /// A report does not list the run, which was confirmed before the poll.
  kConfirmedNotListed,
  /// A report does not list the run, which a former owner ordered.
  kInheritedNotListed,
  /// A report does not list the run, whose stop was confirmed before the poll.
  kStoppedNotListed,
  /// The worker refused the start, or the start was never sent.
  kRefused,
  /// The start was withheld after the run had been stored.
  kWithheld
};

/// Returns "lease_expired", "other_instance" and so on, for logs.
[[nodiscard]] auto GiveUpReasonName(GiveUpReason reason) -> std::string_view;

/// The evidence on which a run is given up.
struct GiveUpEvidence {
  GiveUpReason reason = GiveUpReason::kLeaseExpired;
  /// The answer to the start, for kRefused.
  OrderVerdict verdict = OrderVerdict::kUnknown;
  /// Time as of which it holds: when the poll was sent or the start ordered, or
  /// when the worker last reported.
  TimePoint as_of;
};

/// A run that its owner has given up, although no completion of it was listed.
struct GivenUpRun {
  TaskName task;
  int run = 0;
  WorkerId worker;
  GiveUpEvidence evidence;
  /// Phase of the run until then, and the time since it was entered.
  RunPhase phase = RunPhase::kWaiting;
  Duration in_phase{0};
  Duration evidence_age{0};
};

/// Gives up the newest run of a task: its task may run again. The run is noted
/// for the log, see ShardState::given_up.
auto GiveUpRun(ShardState& state,
               const TaskName& name,
               const GiveUpEvidence& evidence,
               TimePoint now) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_GIVEN_UP_RUN_H_
