#ifndef TEST_FIREFLYTHREAD_RELAY_RUN_UNTIL_H_
#define TEST_FIREFLYTHREAD_RELAY_RUN_UNTIL_H_

#include <functional>

namespace fireflythread::test {

/// Runs the main loop, and `action` each 20 ms, until `done`. False when that
/// takes longer than 20 s; only a failing test waits for all of it.
auto RunUntil(
    const std::function<bool()>& done,
    const std::function<void()>& action = [] {}) -> bool;

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_RELAY_RUN_UNTIL_H_
