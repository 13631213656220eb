#ifndef STANDIN_PLATFORM_TABLE_STORE_H_
#define STANDIN_PLATFORM_TABLE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fireflythread/platform/page_request.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/row_page.h"
#include "fireflythread/platform/scan_result.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread::standin {

/// The transactional table, in memory.
class TableStore {
 public:
  /// Applies all writes at the next revision if every condition holds.
  auto Apply(const Transaction& transaction) -> TransactionOutcome;
  [[nodiscard]] auto Read(const std::string& table,
                          const std::string& key) const -> std::optional<Row>;
  [[nodiscard]] auto Scan(const std::string& table,
                          std::uint64_t after,
                          const std::string& prefix) const -> ScanResult;
  [[nodiscard]] auto Page(const PageRequest& request) const -> RowPage;
  [[nodiscard]] auto Revision() const -> std::uint64_t {
    return this->revision;
  }

 private:
  /// A row's last write; no value marks a deleted row.
  struct Cell {
    std::uint64_t version = 0;
    std::optional<std::string> value;
  };

  [[nodiscard]] auto CurrentRow(const std::string& table,
                                const std::string& key) const -> Row;

  std::map<std::string, std::map<std::string, Cell>> tables;
  std::uint64_t revision = 0;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_PLATFORM_TABLE_STORE_H_
