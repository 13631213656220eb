#ifndef FIREFLYTHREAD_MEMBERSHIP_HEAD_VERSIONS_H_
#define FIREFLYTHREAD_MEMBERSHIP_HEAD_VERSIONS_H_

#include <cstdint>

#include "fireflythread/membership/head_kind.h"

namespace fireflythread {

/// The versions of a control state.
struct HeadVersions {
  std::uint64_t config = 0;
  std::uint64_t fleet = 0;

  [[nodiscard]] auto Get(HeadKind kind) const -> std::uint64_t {
    return kind == HeadKind::kConfig ? this->config : this->fleet;
  }

  /// True if neither version is above the other's.
  [[nodiscard]] auto NotNewerThan(const HeadVersions& other) const -> bool {
    return this->config <= other.config && this->fleet <= other.fleet;
  }

  /// Raises each version to the other's if that one is higher.
  auto RaiseTo(const HeadVersions& other) -> void {
    this->config = this->config < other.config ? other.config : this->config;
    this->fleet = this->fleet < other.fleet ? other.fleet : this->fleet;
  }

  auto operator==(const HeadVersions&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_HEAD_VERSIONS_H_
