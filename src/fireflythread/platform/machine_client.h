#ifndef FIREFLYTHREAD_PLATFORM_MACHINE_CLIENT_H_
#define FIREFLYTHREAD_PLATFORM_MACHINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/duties/duties.h"
#include "fireflythread/platform/platform_error.h"

namespace fireflythread {

/// The platform's list of VMs and its orders to them. Calls return at once;
/// callbacks run later, exactly once, on the main loop.
class MachineClient {
 public:
  using ListCallback = std::function<void(
      std::variant<std::vector<MachineView>, PlatformError>)>;
  using OrderCallback = std::function<void(DutyVerdict)>;

  virtual ~MachineClient() = default;

  /// Reads the whole list.
  virtual auto List(Duration timeout, ListCallback callback) -> void = 0;

  /// Orders a move or an upkeep. Whatever runs on the VM ends at once.
  virtual auto Order(const Duty& duty,
                     std::uint64_t fence,
                     Duration timeout,
                     OrderCallback callback) -> void = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_MACHINE_CLIENT_H_
