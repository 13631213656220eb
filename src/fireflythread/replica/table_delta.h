#ifndef FIREFLYTHREAD_REPLICA_TABLE_DELTA_H_
#define FIREFLYTHREAD_REPLICA_TABLE_DELTA_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/platform/row.h"

namespace fireflythread {

/// Changes that take a replica of one table from one head version to another.
struct TableDelta {
  std::string table;
  std::uint64_t from_head = 0;
  std::uint64_t to_head = 0;
  std::vector<Row> rows;
  /// Deleted rows; `version` is the revision of the deletion.
  std::vector<Row> deleted;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_REPLICA_TABLE_DELTA_H_
