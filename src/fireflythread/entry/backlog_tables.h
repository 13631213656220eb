#ifndef FIREFLYTHREAD_ENTRY_BACKLOG_TABLES_H_
#define FIREFLYTHREAD_ENTRY_BACKLOG_TABLES_H_

#include <string_view>

namespace fireflythread {

/// Table of the shards' backlogs. All rows are in one part, so that one feed
/// shows them to every entry. The key is a shard.
inline constexpr std::string_view kBacklogTable = "backlog";
inline constexpr std::string_view kBacklogPart = "backlog";

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_BACKLOG_TABLES_H_
