#ifndef FIREFLYTHREAD_CONFIG_APPLY_CHANGE_H_
#define FIREFLYTHREAD_CONFIG_APPLY_CHANGE_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "fireflythread/config/config_change.h"
#include "fireflythread/config/config_fault.h"
#include "fireflythread/config/config_snapshot.h"

namespace fireflythread {

/// The next snapshot. Malformed rows are left out and named in `faults`; an
/// object whose new row is malformed keeps its last well-formed value.
struct ChangeApplied {
  ConfigSnapshot snapshot;
  std::vector<ConfigFault> faults;
};

/// The change leads to a version below the present one; nothing is applied.
struct ChangeStale {
  std::uint64_t version = 0;
};

/// The change starts from another version than the present one; the table or
/// a whole snapshot has to be read.
struct ChangeGap {
  std::uint64_t from_version = 0;
};

/// The change holds no well-formed `head` row.
struct ChangeMalformed {
  std::vector<ConfigFault> faults;
};

using ChangeResult =
    std::variant<ChangeApplied, ChangeStale, ChangeGap, ChangeMalformed>;

/// Builds the snapshot that follows `base`. Never yields a lower version. The
/// same change applied twice yields an equal snapshot.
[[nodiscard]] auto ApplyChange(const ConfigSnapshot& base,
                               const ConfigChange& change) -> ChangeResult;

/// All rows of the `config` table that the snapshot stands for.
[[nodiscard]] auto SnapshotRows(const ConfigSnapshot& snapshot)
    -> std::vector<Row>;

/// The rows and deletions that lead from one snapshot to a later one, for a
/// push to peers that have the earlier one.
[[nodiscard]] auto ChangeBetween(const ConfigSnapshot& from,
                                 const ConfigSnapshot& to) -> ConfigChange;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_APPLY_CHANGE_H_
