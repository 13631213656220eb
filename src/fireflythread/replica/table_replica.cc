#include "fireflythread/replica/table_replica.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "fireflythread/platform/scan_result.h"
#include "fireflythread/replica/table_delta.h"

namespace fireflythread {

namespace internal {
namespace {

auto ParseHead(const std::string& text) -> std::optional<std::uint64_t> {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [position, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || position != end) {
    return std::nullopt;
  }
  return value;
}

auto PutRow(TableReplica& replica, const Row& row) -> void {
  Row& slot = replica.rows[row.key];
  if (slot.version < row.version) {
    slot = row;
  }
}

auto EraseRow(TableReplica& replica,
              const std::string& key,
              std::uint64_t revision) -> void {
  const auto found = replica.rows.find(key);
  // A row written after the deletion was read must stay.
  if (found != replica.rows.end() && found->second.version <= revision) {
    replica.rows.erase(found);
  }
}

auto FindHead(const std::vector<Row>& rows) -> const Row* {
  const auto found = std::find_if(rows.begin(), rows.end(), [](const Row& row) {
    return row.key == kHeadKey;
  });
  return found == rows.end() ? nullptr : &*found;
}

}  // namespace
}  // namespace internal

auto ApplyScan(TableReplica& replica,
               std::uint64_t asked_after,
               const ScanResult& scan) -> ReplicaChange {
  if (asked_after > replica.scanned_revision) {
    return ReplicaChange::kGap;
  }
  if (scan.revision < replica.scanned_revision) {
    return ReplicaChange::kStale;
  }
  const Row* head_row = internal::FindHead(scan.rows);
  std::uint64_t head = replica.head;
  if (head_row != nullptr) {
    const std::optional<std::uint64_t> parsed =
        internal::ParseHead(head_row->value);
    if (!parsed) {
      return ReplicaChange::kMalformed;
    }
    if (*parsed < replica.head) {
      return ReplicaChange::kStale;
    }
    head = *parsed;
    replica.head_row_version =
        std::max(replica.head_row_version, head_row->version);
  }
  for (const Row& row : scan.rows) {
    if (row.key != kHeadKey) {
      internal::PutRow(replica, row);
    }
  }
  for (const std::string& key : scan.deleted) {
    internal::EraseRow(replica, key, scan.revision);
  }
  replica.scanned_revision = scan.revision;
  const bool advanced = head > replica.head;
  replica.head = head;
  return advanced ? ReplicaChange::kAdvanced : ReplicaChange::kUnchanged;
}

auto ApplyDelta(TableReplica& replica, const TableDelta& delta)
    -> ReplicaChange {
  if (delta.table != replica.table || delta.to_head <= delta.from_head) {
    return ReplicaChange::kMalformed;
  }
  if (delta.to_head <= replica.head) {
    return ReplicaChange::kStale;
  }
  if (delta.from_head != replica.head) {
    return ReplicaChange::kGap;
  }
  for (const Row& row : delta.rows) {
    if (row.key == kHeadKey) {
      replica.head_row_version =
          std::max(replica.head_row_version, row.version);
    } else {
      internal::PutRow(replica, row);
    }
  }
  for (const Row& row : delta.deleted) {
    internal::EraseRow(replica, row.key, row.version);
  }
  replica.head = delta.to_head;
  return ReplicaChange::kAdvanced;
}

auto ApplySnapshot(TableReplica& replica, const TableReplica& snapshot)
    -> ReplicaChange {
  if (snapshot.table != replica.table) {
    return ReplicaChange::kMalformed;
  }
  if (snapshot.head <= replica.head) {
    return snapshot.head == replica.head ? ReplicaChange::kUnchanged
                                         : ReplicaChange::kStale;
  }
  replica.rows = snapshot.rows;
  replica.head = snapshot.head;
  replica.head_row_version = snapshot.head_row_version;
  // Deletions between the last scan and the snapshot are in the snapshot
  // already; the next scan reads the same rows again without harm.
  return ReplicaChange::kAdvanced;
}

}  // namespace fireflythread
