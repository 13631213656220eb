#include <array>

#include "fireflythread/admin/object_kind.h"
#include "fireflythread/admin/readiness.h"
#include "fireflythread/admin/vm_status.h"
#include "fireflythread/admin/wave_state.h"

namespace fireflythread::admin {
namespace {

constexpr std::array<ObjectKind, 4> kKinds{
    ObjectKind::kProfile, ObjectKind::kService, ObjectKind::kPool,
    ObjectKind::kTeam};

}  // namespace

auto ObjectKindName(ObjectKind kind) -> std::string_view {
  static constexpr std::array<std::string_view, 4> kNames{"profile", "service",
                                                          "pool", "team"};
  return kNames.at(static_cast<std::size_t>(kind));
}

auto ObjectKindCollection(ObjectKind kind) -> std::string_view {
  static constexpr std::array<std::string_view, 4> kNames{
      "profiles", "services", "pools", "teams"};
  return kNames.at(static_cast<std::size_t>(kind));
}

auto ObjectKindFromCollection(std::string_view collection)
    -> std::optional<ObjectKind> {
  for (const ObjectKind kind : kKinds) {
    if (ObjectKindCollection(kind) == collection) {
      return kind;
    }
  }
  return std::nullopt;
}

auto FormatReadinessState(Readiness::State state) -> std::string_view {
  static constexpr std::array<std::string_view, 4> kNames{
      "starting", "serving", "stopping", "cut_off"};
  return kNames.at(static_cast<std::size_t>(state));
}

auto FormatVmState(VmState state) -> std::string_view {
  static constexpr std::array<std::string_view, 6> kNames{
      "serving", "draining", "drained", "rebooting", "verifying", "failed"};
  return kNames.at(static_cast<std::size_t>(state));
}

auto FormatWaveState(WaveState state) -> std::string_view {
  static constexpr std::array<std::string_view, 6> kNames{
      "planned", "declared", "running", "paused", "done", "cancelled"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace fireflythread::admin
