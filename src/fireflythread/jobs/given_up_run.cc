#include "fireflythread/jobs/given_up_run.h"

#include <array>
#include <cstddef>

#include "fireflythread/base/assert.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

auto GiveUpReasonName(GiveUpReason reason) -> std::string_view {
  static constexpr std::array<std::string_view, 7> kNames = {
      "lease_expired",
      "other_instance",
      "confirmed_not_listed",
      "inherited_not_listed",
      "stopped_not_listed",
      "refused",
      "withheld"};
  return kNames.at(static_cast<std::size_t>(reason));
}

auto GiveUpRun(ShardState& state,
               const TaskName& name,
               const GiveUpEvidence& evidence,
               TimePoint now) -> void {
  const TaskState* task = FindTask(state, name);
  FIREFLYTHREAD_ASSERT(task != nullptr, "a task that is given up must exist");
  GivenUpRun given_up;
  given_up.task = name;
  given_up.run = task->run;
  given_up.worker = task->worker;
  given_up.evidence = evidence;
  given_up.phase = task->phase;
  given_up.in_phase = now - task->since;
  given_up.evidence_age = now - evidence.as_of;
  state.given_up.push_back(given_up);
  ReleaseTask(state, name, now);
}

}  // namespace fireflythread
