#ifndef FIREFLYTHREAD_TEST_CONFIG_CONFIG_TESTING_H_
#define FIREFLYTHREAD_TEST_CONFIG_CONFIG_TESTING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/config/apply_change.h"
#include "fireflythread/config/plan_edit.h"

namespace fireflythread::testing {

/// The rows of a small configuration at version 7: one profile, one service,
/// one pool and the spare pool.
inline auto SmallTable() -> std::vector<Row> {
  return {{"config", "head", 20, "7"},
          {"config", "profile/steady", 11, R"({"headroom": 0.5})"},
          {"config", "pool/desk", 12, R"({"max_vms": 20})"},
          {"config", "pool/misc", 13, R"({"spare": true})"},
          {"config", "service/orders", 20,
           R"({"pool": "desk", "profile": "steady"})"}};
}

inline auto SmallSnapshot() -> ConfigSnapshot {
  ConfigChange change;
  change.whole = true;
  change.rows = SmallTable();
  return std::get<ChangeApplied>(ApplyChange({}, change)).snapshot;
}

inline auto MakeEdit(ConfigKind kind,
                     std::string name,
                     std::optional<std::string> value,
                     std::uint64_t from_version) -> ConfigEdit {
  return {.kind = kind,
          .name = std::move(name),
          .value = std::move(value),
          .from_version = from_version,
          .who = "ines",
          .at = WallTime(std::chrono::seconds(1000)),
          .nonce = "n1"};
}

}  // namespace fireflythread::testing

#endif  // FIREFLYTHREAD_TEST_CONFIG_CONFIG_TESTING_H_
