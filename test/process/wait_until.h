#ifndef TEST_PROCESS_WAIT_UNTIL_H_
#define TEST_PROCESS_WAIT_UNTIL_H_

#include <chrono>
#include <functional>

namespace fireflythread::test {

/// Generous: a wait ends with its event; the limit only ends a failed test.
inline constexpr std::chrono::milliseconds kLimit{60000};

/// Waits for an event; false when the limit passed first.
[[nodiscard]] auto WaitUntil(const std::function<bool()>& event,
                             std::chrono::milliseconds limit = kLimit) -> bool;

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_WAIT_UNTIL_H_
