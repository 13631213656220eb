#ifndef STANDIN_PLATFORM_TABLE_JSON_H_
#define STANDIN_PLATFORM_TABLE_JSON_H_

#include <nlohmann/json.hpp>

#include "fireflythread/platform/row.h"
#include "fireflythread/platform/row_page.h"
#include "fireflythread/platform/scan_result.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread::standin {

/// Throws nlohmann::json::exception or std::invalid_argument when the request
/// has a wrong shape.
[[nodiscard]] auto TransactionFromJson(const nlohmann::json& json)
    -> Transaction;
[[nodiscard]] auto OutcomeToJson(const TransactionOutcome& outcome)
    -> nlohmann::json;
[[nodiscard]] auto RowToJson(const Row& row) -> nlohmann::json;
[[nodiscard]] auto ScanToJson(const ScanResult& scan) -> nlohmann::json;

[[nodiscard]] auto PageToJson(const RowPage& page) -> nlohmann::json;

}  // namespace fireflythread::standin

#endif  // STANDIN_PLATFORM_TABLE_JSON_H_
