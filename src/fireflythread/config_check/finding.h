#ifndef FIREFLYTHREAD_CONFIG_CHECK_FINDING_H_
#define FIREFLYTHREAD_CONFIG_CHECK_FINDING_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fireflythread {

/// How much a finding matters, in ascending order.
enum class Severity {
  /// A change against the version in force that callers notice.
  kDifference,
  /// The program applies the entry, probably not as intended.
  kWarning,
  /// The program leaves out the entry, or the entry cannot take effect.
  kError,
};

inline constexpr std::size_t kSeverities = 3;

/// Something that an operator should know about a configuration before it is
/// sent.
struct Finding {
  Severity severity = Severity::kError;
  /// JSON path of the value.
  std::string place;
  std::string reason;

  auto operator==(const Finding&) const -> bool = default;
};

/// Maximum number of findings that are kept. Bounds the memory that a file of
/// nothing but faults takes; no one reads as many.
inline constexpr std::size_t kMaxFindings = 10'000;

/// All findings of one check.
struct Findings {
  std::vector<Finding> list;
  /// Number of findings by severity, with those that were not kept.
  std::array<std::size_t, kSeverities> counts{};
};

auto AddFinding(Findings& findings,
                Severity severity,
                std::string place,
                std::string reason) -> void;

[[nodiscard]] auto CountOf(const Findings& findings, Severity severity)
    -> std::size_t;

/// Returns a name in quotes for a reason, or its length if it is too long to be
/// shown. A name is never cut, as a part of a key could not be recognised and
/// hidden.
[[nodiscard]] auto Quote(std::string_view name) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CHECK_FINDING_H_
