#include "standin/platform/table_store.h"

#include <iterator>
#include <utility>

namespace fireflythread::standin {

auto TableStore::CurrentRow(const std::string& table,
                            const std::string& key) const -> Row {
  Row row;
  row.table = table;
  row.key = key;
  const auto rows = this->tables.find(table);
  if (rows == this->tables.end()) {
    return row;
  }
  const auto cell = rows->second.find(key);
  if (cell != rows->second.end() && cell->second.value) {
    row.version = cell->second.version;
    row.value = *cell->second.value;
  }
  return row;
}

auto TableStore::Apply(const Transaction& transaction) -> TransactionOutcome {
  Conflict conflict;
  for (const Condition& condition : transaction.conditions) {
    Row row = this->CurrentRow(condition.table, condition.key);
    if (row.version != condition.version) {
      conflict.current.push_back(std::move(row));
    }
  }
  if (!conflict.current.empty()) {
    return conflict;
  }
  ++this->revision;
  for (const Write& write : transaction.writes) {
    this->tables[write.table][write.key] = {.version = this->revision,
                                            .value = write.value};
  }
  return Committed{this->revision};
}

auto TableStore::Read(const std::string& table, const std::string& key) const
    -> std::optional<Row> {
  Row row = this->CurrentRow(table, key);
  if (row.version == 0) {
    return std::nullopt;
  }
  return row;
}

auto TableStore::Scan(const std::string& table,
                      std::uint64_t after,
                      const std::string& prefix) const -> ScanResult {
  ScanResult result;
  result.revision = this->revision;
  const auto rows = this->tables.find(table);
  if (rows == this->tables.end()) {
    return result;
  }
  for (auto cell = rows->second.lower_bound(prefix);
       cell != rows->second.end() && cell->first.starts_with(prefix); ++cell) {
    const auto& [key, stored] = *cell;
    if (stored.version <= after) {
      continue;
    }
    if (stored.value) {
      result.rows.push_back({table, key, stored.version, *stored.value});
    } else {
      result.deleted.push_back(key);
    }
  }
  return result;
}

auto TableStore::Page(const PageRequest& request) const -> RowPage {
  RowPage page;
  const auto rows = this->tables.find(request.table);
  if (rows == this->tables.end()) {
    return page;
  }
  const auto& cells = rows->second;
  const auto begin = cells.upper_bound(request.above);
  const auto end =
      request.below.empty() ? cells.end() : cells.lower_bound(request.below);
  // Adds a row; false once the page is full.
  const auto add = [&](const auto& cell) {
    if (!cell.second.value) {
      return true;
    }
    if (page.rows.size() == static_cast<std::size_t>(request.limit)) {
      page.more = true;
      return false;
    }
    page.rows.push_back(
        {request.table, cell.first, cell.second.version, *cell.second.value});
    return true;
  };
  const bool crossed = !request.below.empty() && request.above >= request.below;
  auto low = begin;
  auto high = crossed ? begin : end;
  while (low != high && add(request.descending ? *std::prev(high) : *low)) {
    request.descending ? --high : ++low;
  }
  return page;
}

}  // namespace fireflythread::standin
