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
/// longest time: those of clients that stop half-way. A client that sends its
/// request at once is done before it becomes one of them.
struct ByteBudget {
  struct Holder {
    std::size_t bytes = 0;
    TimePoint progressed_at;
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

/// Releases all that a request holds. Does nothing for one that holds nothing.
auto ReleaseBytes(ByteBudget& budget, std::uint64_t request) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_BYTE_BUDGET_H_
