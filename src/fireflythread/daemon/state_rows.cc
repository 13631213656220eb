#include "fireflythread/daemon/state_rows.h"

namespace fireflythread {

auto RowsFromProto(const StateRowList& rows) -> std::vector<Row> {
  std::vector<Row> result;
  result.reserve(static_cast<std::size_t>(rows.size()));
  for (const peer::StateRow& row : rows) {
    if (!row.deleted()) {
      result.push_back({row.table(), row.key(), row.version(), row.value()});
    }
  }
  return result;
}

auto DeletedKeysFromProto(const StateRowList& rows)
    -> std::vector<std::string> {
  std::vector<std::string> keys;
  for (const DeletedRow& row : DeletedRowsFromProto(rows)) {
    keys.push_back(row.key);
  }
  return keys;
}

auto DeletedRowsFromProto(const StateRowList& rows) -> std::vector<DeletedRow> {
  std::vector<DeletedRow> deleted;
  for (const peer::StateRow& row : rows) {
    if (row.deleted()) {
      deleted.push_back({row.key(), row.version()});
    }
  }
  return deleted;
}

}  // namespace fireflythread
