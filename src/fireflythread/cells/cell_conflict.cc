#include "fireflythread/cells/cell_conflict.h"

#include <fmt/format.h>

#include <algorithm>

#include "fireflythread/cells/cell_claim.h"

namespace fireflythread {
namespace {

auto ZoneText(const CellClaim& claim) -> std::string {
  if (claim.zones.empty()) {
    return "all zones";
  }
  std::string text;
  for (const ZoneName& zone : claim.zones) {
    text += text.empty() ? "" : ", ";
    text += zone.value;
  }
  return text;
}

}  // namespace

auto FindClaimConflict(const CellClaim& own, const CellClaim& other)
    -> std::optional<std::string> {
  if (own.cell == other.cell) {
    if (own.zones == other.zones) {
      return std::nullopt;
    }
    return fmt::format("cell {} is registered with {}, not with {}",
                       own.cell.value, ZoneText(other), ZoneText(own));
  }
  if (own.zones.empty()) {
    return fmt::format("cell {} claims all zones, but there is also cell {}",
                       own.cell.value, other.cell.value);
  }
  if (other.zones.empty()) {
    return fmt::format("cell {} claims all zones", other.cell.value);
  }
  const auto shared = std::find_if(
      own.zones.begin(), own.zones.end(),
      [&](const ZoneName& zone) { return other.zones.contains(zone); });
  if (shared == own.zones.end()) {
    return std::nullopt;
  }
  return fmt::format("zone {} is also claimed by cell {}", shared->value,
                     other.cell.value);
}

auto FindClaimConflict(const CellClaim& own,
                       const std::vector<CellClaim>& others)
    -> std::optional<std::string> {
  for (const CellClaim& other : others) {
    if (auto conflict = FindClaimConflict(own, other)) {
      return conflict;
    }
  }
  return std::nullopt;
}

}  // namespace fireflythread
