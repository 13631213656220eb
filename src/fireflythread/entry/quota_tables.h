#ifndef FIREFLYTHREAD_ENTRY_QUOTA_TABLES_H_
#define FIREFLYTHREAD_ENTRY_QUOTA_TABLES_H_

#include <string_view>

namespace fireflythread {

/// Table of the grants, in the part of the duty shard. The key is a shard; the
/// owner of the duty shard writes the rows.
inline constexpr std::string_view kGrantTable = "grant";

/// Table of the shards' usage of caps. Each row is in its shard's own part, so
/// that its owner's writes can depend on the fence row there.
inline constexpr std::string_view kUsageTable = "usage";
inline constexpr std::string_view kUsageKey = "usage";

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_QUOTA_TABLES_H_
