#ifndef FIREFLYTHREAD_PLATFORM_PROTOCOL_JSON_H_
#define FIREFLYTHREAD_PLATFORM_PROTOCOL_JSON_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/platform/fwd.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/row_page.h"
#include "fireflythread/platform/scan_result.h"
#include "fireflythread/platform/transaction_outcome.h"
#include "fireflythread/platform/vm_list_result.h"
#include "fireflythread/platform/worker_task_report.h"

namespace fireflythread::internal {

/// Bodies of the platform protocol; docs/platform-api.md gives their shapes.
/// An encoder returns no value when a string is not UTF-8, which JSON cannot
/// carry.
[[nodiscard]] auto EncodeTransaction(const Transaction& transaction)
    -> std::optional<std::string>;
[[nodiscard]] auto EncodeBatch(const std::vector<Transaction>& transactions)
    -> std::optional<std::string>;
[[nodiscard]] auto EncodeVmCommand(const VmCommand& command)
    -> std::optional<std::string>;
[[nodiscard]] auto EncodeTaskCommand(const WorkerTaskCommand& command)
    -> std::optional<std::string>;

/// A decoder returns no value when the text does not have the documented
/// shape. Fields that the protocol does not name are ignored.
[[nodiscard]] auto DecodeOutcome(std::string_view text)
    -> std::optional<TransactionOutcome>;

/// Returns no value also when the number of outcomes is not `count`.
[[nodiscard]] auto DecodeBatchOutcomes(std::string_view text, std::size_t count)
    -> std::optional<std::vector<TransactionOutcome>>;

/// The inner value is empty when the row is absent.
[[nodiscard]] auto DecodeRead(std::string_view text)
    -> std::optional<std::optional<Row>>;

/// Every row of the result gets the table name `table`.
[[nodiscard]] auto DecodeScan(std::string_view text, const std::string& table)
    -> std::optional<ScanResult>;
[[nodiscard]] auto DecodePage(std::string_view text, const std::string& table)
    -> std::optional<RowPage>;
[[nodiscard]] auto DecodeVmList(std::string_view text)
    -> std::optional<VmListResult>;
[[nodiscard]] auto DecodeTaskReports(std::string_view text)
    -> std::optional<std::vector<WorkerTaskReport>>;

}  // namespace fireflythread::internal

#endif  // FIREFLYTHREAD_PLATFORM_PROTOCOL_JSON_H_
