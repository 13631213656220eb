#ifndef FIREFLYTHREAD_QUOTA_QUOTA_GRANT_H_
#define FIREFLYTHREAD_QUOTA_QUOTA_GRANT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// The parts of the organisations' caps that one shard may use.
struct QuotaGrant {
  /// Grows with each grant of the shard.
  std::uint64_t number = 0;
  /// Upper limits of what an organisation's runs may hold in the shard.
  std::map<OrganisationName, TaskSize> limits;
  /// The highest limits of all grants that the shard may still follow, this one
  /// included, for the next allocator.
  std::map<OrganisationName, TaskSize> bounds;

  auto operator==(const QuotaGrant&) const -> bool = default;
};

[[nodiscard]] auto EncodeQuotaGrant(const QuotaGrant& grant) -> std::string;

/// Returns no value when the text is unreadable.
[[nodiscard]] auto DecodeQuotaGrant(std::string_view text)
    -> std::optional<QuotaGrant>;

/// Returns an organisation's entry; zero when there is none.
[[nodiscard]] auto SizeOf(const std::map<OrganisationName, TaskSize>& sizes,
                          const OrganisationName& name) -> TaskSize;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_QUOTA_QUOTA_GRANT_H_
