#ifndef TEST_FIREFLYTHREAD_RELAY_RUN_UNTIL_H_
#define TEST_FIREFLYTHREAD_RELAY_RUN_UNTIL_H_

#include <functional>

namespace fireflythread::test {

/// Runs the main loop until `done` returns true, and calls `action` before each
/// iteration, at least every 20 ms. Returns false if `done` is still false
/// after 20 s, which only a failing test reaches.
auto RunUntil(
    const std::function<bool()>& done,
    const std::function<void()>& action = [] {}) -> bool;

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_RELAY_RUN_UNTIL_H_
