#ifndef FIREFLYTHREAD_REPLICA_TABLE_REPLICA_H_
#define FIREFLYTHREAD_REPLICA_TABLE_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>

#include "fireflythread/platform/fwd.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/replica/fwd.h"

namespace fireflythread {

/// An entry's copy in memory of one table of the platform (`config` or
/// `fleet`). The `head` row counts the table's versions. A replica only moves
/// to a higher head version, whatever order scans and pushes arrive in.
struct TableReplica {
  std::string table;
  /// Revision of the last scan; the next scan asks for rows written after it.
  std::uint64_t scanned_revision = 0;
  /// Number in the `head` row; 0 when the table has none yet.
  std::uint64_t head = 0;
  /// All rows by key, without the head row.
  std::map<std::string, Row> rows;
  /// Table revision of the head row, needed to write it conditionally.
  std::uint64_t head_row_version = 0;
};

inline constexpr char kHeadKey[] = "head";

/// What an applied scan or push did to a replica.
enum class ReplicaChange {
  kUnchanged,
  kAdvanced,
  /// The input was older than the replica and was left out.
  kStale,
  /// The push starts after the replica's head: the whole table is needed.
  kGap,
  /// The head row is missing or is not a number.
  kMalformed
};

/// Applies rows read from the store. `asked_after` is the revision the scan
/// asked for; a scan that asked for rows after a later revision than the
/// replica's is left out as kGap.
[[nodiscard]] auto ApplyScan(TableReplica& replica,
                             std::uint64_t asked_after,
                             const ScanResult& scan) -> ReplicaChange;

/// Applies a change pushed by a peer or committed by this entry.
[[nodiscard]] auto ApplyDelta(TableReplica& replica, const TableDelta& delta)
    -> ReplicaChange;

/// Replaces the replica's content by a peer's whole copy if that is newer.
[[nodiscard]] auto ApplySnapshot(TableReplica& replica,
                                 const TableReplica& snapshot) -> ReplicaChange;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_REPLICA_TABLE_REPLICA_H_
