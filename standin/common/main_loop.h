#ifndef STANDIN_COMMON_MAIN_LOOP_H_
#define STANDIN_COMMON_MAIN_LOOP_H_

#include <chrono>
#include <functional>

namespace fireflythread::standin {

/// Runs the default main loop until SIGTERM or SIGINT or QuitMainLoop().
auto RunMainLoop() -> void;
auto QuitMainLoop() -> void;

/// Runs `action` once after `delay`.
auto RunLater(std::chrono::milliseconds delay, std::function<void()> action)
    -> void;

/// Runs `action` again and again, for the life of the process.
auto RunEvery(std::chrono::milliseconds interval, std::function<void()> action)
    -> void;

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_MAIN_LOOP_H_
