#include "fireflythread/ownership/fence.h"

#include <algorithm>
#include <string>

namespace fireflythread {

auto OwnerCondition(const ShardName& shard, std::uint64_t fence) -> Condition {
  return {std::string(kFenceTable), std::string(kFenceKey), fence, shard.value};
}

auto HasNewerFence(const Conflict& conflict, std::uint64_t fence) -> bool {
  return std::any_of(conflict.current.begin(), conflict.current.end(),
                     [fence](const Row& row) -> bool {
                       return row.table == kFenceTable &&
                              row.key == kFenceKey && row.version != fence;
                     });
}

}  // namespace fireflythread
