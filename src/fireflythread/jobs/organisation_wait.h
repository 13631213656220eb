#ifndef FIREFLYTHREAD_JOBS_ORGANISATION_WAIT_H_
#define FIREFLYTHREAD_JOBS_ORGANISATION_WAIT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// Why an organisation's tasks wait.
enum class WaitCause : std::uint8_t {
  /// Its part of the organisation's cap leaves no room for the next task.
  kCap,
  /// It got more than its share lately, so that others come first.
  kShare,
  /// No worker has room.
  kRoom
};

/// Returns "cap", "share" or "room".
[[nodiscard]] auto WaitCauseName(WaitCause cause) -> std::string_view;

/// An organisation with waiting tasks in a shard.
struct OrganisationWait {
  OrganisationName organisation;
  int waiting_jobs = 0;
  TaskSize held;
  /// The shard's part of the organisation's cap; zero where it has none.
  TaskSize limit;
  WaitCause cause = WaitCause::kRoom;
};

/// Returns the organisations with waiting tasks, that with the most waiting
/// jobs first.
[[nodiscard]] auto FindOrganisationWaits(const ShardState& state, TimePoint now)
    -> std::vector<OrganisationWait>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ORGANISATION_WAIT_H_
