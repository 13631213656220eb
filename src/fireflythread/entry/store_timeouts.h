#ifndef FIREFLYTHREAD_ENTRY_STORE_TIMEOUTS_H_
#define FIREFLYTHREAD_ENTRY_STORE_TIMEOUTS_H_

#include <chrono>

namespace fireflythread {

/// A store call without an answer for this long counts as unanswered.
inline constexpr std::chrono::milliseconds kStoreTimeout{1200};

/// Longest wait of a call that follows a table. Short, so that a connection
/// that went silent is noticed well within the time in which a configuration
/// must be in force.
inline constexpr std::chrono::milliseconds kFollowWait{1000};

/// Beyond its wait, a following call may take this long.
inline constexpr std::chrono::milliseconds kFollowSlack{400};

/// Pause after a store call that failed.
inline constexpr std::chrono::milliseconds kStoreRetryDelay{150};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_STORE_TIMEOUTS_H_
