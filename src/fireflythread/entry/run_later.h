#ifndef FIREFLYTHREAD_ENTRY_RUN_LATER_H_
#define FIREFLYTHREAD_ENTRY_RUN_LATER_H_

#include <chrono>
#include <functional>

namespace fireflythread {

/// Calls a function once on the main loop after a delay. It can't be cancelled,
/// so it must hold up when its owner is destroyed before; see AliveToken.
auto RunLater(std::chrono::milliseconds delay, std::function<void()> function)
    -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_RUN_LATER_H_
