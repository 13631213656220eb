#ifndef FIREFLYTHREAD_RETENTION_ROW_AGE_H_
#define FIREFLYTHREAD_RETENTION_ROW_AGE_H_

#include <optional>
#include <string>
#include <vector>

#include "fireflythread/platform/row.h"
#include "fireflythread/retention/fwd.h"

namespace fireflythread::internal {

/// Objects of a row that may be removed; no value for a row that stays. One
/// that cannot be read stays.
using ObjectsOfOld = std::optional<std::vector<std::string>>;

[[nodiscard]] auto OldRecord(const Row& row,
                             const RetentionLimits& limits,
                             const RetentionFacts& facts) -> ObjectsOfOld;
[[nodiscard]] auto OldHistory(const Row& row,
                              const RetentionLimits& limits,
                              const RetentionFacts& facts) -> ObjectsOfOld;
[[nodiscard]] auto OldWave(const Row& row,
                           const RetentionLimits& limits,
                           const RetentionFacts& facts) -> ObjectsOfOld;
[[nodiscard]] auto OldTask(const Row& row,
                           const RetentionLimits& limits,
                           const RetentionFacts& facts) -> ObjectsOfOld;

}  // namespace fireflythread::internal

#endif  // FIREFLYTHREAD_RETENTION_ROW_AGE_H_
