#ifndef FIREFLYTHREAD_ADMISSION_BYTE_BUDGET_H_
#define FIREFLYTHREAD_ADMISSION_BYTE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Bounds the bytes that a process holds for requests under way. When they
/// exceed the limit, the requests give way that have made no progress for the
/// longest time: those of clients that stop half-way. A request that has been
/// received and is being worked on never gives way, but its bytes count until
/// its answer.
struct ByteBudget {
  struct Holder {
    std::size_t bytes = 0;
    TimePoint progressed_at;
    /// The request has been received.
    bool handled = false;
  };

  std::size_t limit = 0;
  std::size_t used = 0;
  std::map<std::uint64_t, Holder> holders;
};

/// Adds bytes that a request holds. Returns the requests that must give way,
/// which hold nothing any more; the request itself may be one of them.
[[nodiscard]] auto ChargeBytes(ByteBudget& budget,
                               std::uint64_t request,
                               std::size_t bytes,
                               TimePoint now) -> std::vector<std::uint64_t>;

/// Notes that a request has been received whole. Does nothing for one that
/// holds nothing.
auto MarkHandled(ByteBudget& budget, std::uint64_t request) -> void;

/// Releases all that a request holds. Does nothing for one that holds nothing.
auto ReleaseBytes(ByteBudget& budget, std::uint64_t request) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_BYTE_BUDGET_H_
