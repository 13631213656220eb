#ifndef FIREFLYTHREAD_ENTRY_STORE_TIMEOUTS_H_
#define FIREFLYTHREAD_ENTRY_STORE_TIMEOUTS_H_

#include <chrono>

namespace fireflythread {

/// Timeout of a store call.
inline constexpr std::chrono::milliseconds kStoreTimeout{1200};

/// Long-poll wait of a call that follows a table. It is short, so that an
/// unresponsive connection is detected well within the time in which a
/// configuration must be in force.
inline constexpr std::chrono::milliseconds kFollowWait{1000};

/// Long-poll wait of the call that follows the owners of shards, which every
/// entry makes. Only a release is learned by it alone: on an unresponsive
/// connection the shard is claimed that much later.
inline constexpr std::chrono::milliseconds kShardFollowWait{2000};

/// Long-poll wait of the call that follows the shards' backlogs, which every
/// entry makes. It is long, so that it costs next to nothing while no shard has
/// a backlog, but ends within the time that the store's client allows a read
/// (20 s). On an unresponsive connection nothing is refused meanwhile.
inline constexpr std::chrono::milliseconds kBacklogFollowWait{15000};

/// Added to the wait of a call that follows a table to get its timeout.
inline constexpr std::chrono::milliseconds kFollowSlack{400};

/// Delay before a failed store call is retried.
inline constexpr std::chrono::milliseconds kStoreRetryDelay{150};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_STORE_TIMEOUTS_H_
