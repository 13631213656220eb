#include "fireflythread/config_check/finding.h"

#include <fmt/format.h>

#include <utility>

namespace fireflythread {
namespace {

/// Maximum length of a name that a reason shows, in bytes.
constexpr std::size_t kMaxNameLength = 200;

}  // namespace

auto AddFinding(Findings& findings,
                Severity severity,
                std::string place,
                std::string reason) -> void {
  ++findings.counts.at(static_cast<std::size_t>(severity));
  if (findings.list.size() < kMaxFindings) {
    findings.list.push_back({severity, std::move(place), std::move(reason)});
  }
}

auto CountOf(const Findings& findings, Severity severity) -> std::size_t {
  return findings.counts.at(static_cast<std::size_t>(severity));
}

auto Quote(std::string_view name) -> std::string {
  if (name.size() > kMaxNameLength) {
    return fmt::format("(a name of {} bytes)", name.size());
  }
  return fmt::format("\"{}\"", name);
}

}  // namespace fireflythread
