#ifndef FIREFLYTHREAD_LEASE_LEASE_RECORD_H_
#define FIREFLYTHREAD_LEASE_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

inline constexpr const char* kLeaseTable = "lease";
inline constexpr const char* kLeaseKey = "controller";
inline constexpr const char* kEpochKey = "controller_epoch";

/// The value of the row `lease/controller`.
struct LeaseRecord {
  /// Empty when the lease was released.
  EntryId holder;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  Duration duration{0};

  auto operator==(const LeaseRecord&) const -> bool = default;
};

[[nodiscard]] auto EncodeLease(const LeaseRecord& record) -> std::string;

/// No value when the text is not a lease record.
[[nodiscard]] auto DecodeLease(const std::string& json)
    -> std::optional<LeaseRecord>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_LEASE_RECORD_H_
