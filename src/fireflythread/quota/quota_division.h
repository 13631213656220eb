#ifndef FIREFLYTHREAD_QUOTA_QUOTA_DIVISION_H_
#define FIREFLYTHREAD_QUOTA_QUOTA_DIVISION_H_

#include <cstddef>
#include <vector>

#include "fireflythread/quota/quota_usage.h"

namespace fireflythread {

/// Divides a cap among shards, each resource by itself. While the cap is enough
/// for what the shards hold and could start, each gets that and an equal part
/// of the rest, so that one whose load rises has room at once; one such part is
/// left, so that it can get more before another shard has given any up. Else
/// they get
/// parts in proportion, but each with waiting work at least its largest task,
/// as far as the cap goes; `first` is the shard that gets its task first.
/// A cap of 0 sets no limit.
[[nodiscard]] auto DivideCap(const TaskSize& cap,
                             const std::vector<OrganisationUsage>& shards,
                             std::size_t first) -> std::vector<TaskSize>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_QUOTA_QUOTA_DIVISION_H_
