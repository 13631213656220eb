#include "test/process/wait_until.h"

#include <thread>

namespace fireflythread::test {

auto WaitUntil(const std::function<bool()>& event,
               std::chrono::milliseconds limit) -> bool {
  constexpr std::chrono::milliseconds kInterval{20};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!event()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

}  // namespace fireflythread::test
