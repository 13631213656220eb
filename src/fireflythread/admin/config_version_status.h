#ifndef FIREFLYTHREAD_ADMIN_CONFIG_VERSION_STATUS_H_
#define FIREFLYTHREAD_ADMIN_CONFIG_VERSION_STATUS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread::admin {

/// Which configuration is committed and where it is in force.
struct ConfigVersionStatus {
  /// The newest version that the answering entry knows to be committed.
  std::uint64_t committed = 0;
  /// The newest version that a majority of the members of every cell have
  /// applied.
  std::uint64_t accepted = 0;
  /// The version that each member serves by, as far as known.
  std::map<EntryId, std::uint64_t> in_force;
  /// Members that serve and have an older version than the one asked for.
  std::vector<EntryId> behind;
  /// Cells that may still serve with an older version than that.
  std::set<CellName> missing_cells;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_CONFIG_VERSION_STATUS_H_
