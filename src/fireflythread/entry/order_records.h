#ifndef FIREFLYTHREAD_ENTRY_ORDER_RECORDS_H_
#define FIREFLYTHREAD_ENTRY_ORDER_RECORDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/duties/duty_state.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/platform/table_store.h"

namespace fireflythread {

/// Table of recent orders, in the part of the duty shard. The key is a VM for
/// which an order may have been sent.
inline constexpr std::string_view kOrderedTable = "ordered";

/// Stores and removes the records of orders, for the owner of the duty shard.
///
/// A removal requires the version of the record. Otherwise one that the store
/// carries out late would remove the record of a later order for the same VM,
/// and the next owner would not know of that order.
class OrderRecords {
 public:
  using Callback = std::function<void(const TransactionOutcome&)>;

  /// `fence` is the fencing token of `shard`. `on_fenced` is called when a
  /// removal finds a newer owner.
  OrderRecords(TableStore& store,
               ShardName shard,
               std::uint64_t fence,
               std::function<void()> on_fenced);
  OrderRecords(const OrderRecords&) = delete;
  auto operator=(const OrderRecords&) -> OrderRecords& = delete;

  /// Applies the records of former owners and returns their VMs.
  auto ApplyLoaded(const std::vector<Row>& rows) -> std::set<VmId>;

  /// Stores a record of each order in one transaction.
  auto Record(const std::vector<Duty>& orders, Callback callback) -> void;

  /// Removes the records of these VMs in as many transactions and attempts as
  /// it takes. A record that is stored again meanwhile stays.
  auto Remove(const std::vector<VmId>& vms) -> void;

  /// Sends the removals that are due.
  auto Step() -> void;

 private:
  using Versions = std::map<VmId, std::uint64_t>;

  auto ApplyRecorded(const std::vector<Duty>& orders, std::uint64_t version)
      -> void;
  /// Returns the records to be removed in the next transaction.
  auto NextRemovals() -> Versions;
  auto ApplyRemovalOutcome(const Versions& removals,
                           const TransactionOutcome& outcome) -> void;
  auto ApplyConflict(const Conflict& conflict) -> void;

  TableStore& store;
  ShardName shard;
  std::uint64_t fence;
  std::function<void()> on_fenced;
  /// Versions of the stored records, as far as they are known.
  Versions versions;
  /// Records to be removed.
  std::set<VmId> expired;
  bool removing = false;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_ORDER_RECORDS_H_
