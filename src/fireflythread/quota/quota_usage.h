#ifndef FIREFLYTHREAD_QUOTA_QUOTA_USAGE_H_
#define FIREFLYTHREAD_QUOTA_QUOTA_USAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// What an organisation has and wants in one shard.
struct OrganisationUsage {
  /// What its runs hold that exist or may exist.
  TaskSize held;
  /// What its tasks ask for that could start now.
  TaskSize waiting;
  /// The most of each resource that one of its waiting tasks asks for.
  TaskSize largest;

  auto operator==(const OrganisationUsage&) const -> bool = default;
};

/// The usage of all organisations with a cap, as the owner of a shard publishes
/// it.
struct QuotaUsage {
  /// Number of the grant that the owner follows; 0 for none. What the runs of
  /// the shard hold stays below the limits of this grant or below `held`,
  /// whichever is more.
  std::uint64_t grant_number = 0;
  std::map<OrganisationName, OrganisationUsage> organisations;

  auto operator==(const QuotaUsage&) const -> bool = default;
};

[[nodiscard]] auto EncodeQuotaUsage(const QuotaUsage& usage) -> std::string;

/// Returns no value when the text is unreadable.
[[nodiscard]] auto DecodeQuotaUsage(std::string_view text)
    -> std::optional<QuotaUsage>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_QUOTA_QUOTA_USAGE_H_
