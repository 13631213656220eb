#ifndef FIREFLYTHREAD_JOBS_TOMBSTONE_BUDGET_H_
#define FIREFLYTHREAD_JOBS_TOMBSTONE_BUDGET_H_

#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// Limits how many tombstones an entry writes, as callers choose the ids of the
/// jobs that they cancel and each tombstone stays for minutes. An organisation
/// gets half of what the entry does, so that one alone leaves room for others.
struct TombstoneBudget {
  /// A token bucket.
  struct Bucket {
    double tokens = 0;
    TimePoint refilled_at;
  };

  /// The bucket of all callers; no value until it is needed.
  std::optional<Bucket> entry;
  /// Those buckets of organisations that are not full.
  std::map<OrganisationName, Bucket> organisations;
};

/// Takes one token for a tombstone of a caller, whose name is empty without an
/// organisation. Returns false, and takes nothing, if there is none.
[[nodiscard]] auto TryTake(TombstoneBudget& budget,
                           const OrganisationName& caller,
                           TimePoint now) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_TOMBSTONE_BUDGET_H_
