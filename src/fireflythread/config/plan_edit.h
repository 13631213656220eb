#ifndef FIREFLYTHREAD_CONFIG_PLAN_EDIT_H_
#define FIREFLYTHREAD_CONFIG_PLAN_EDIT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/config/config_edit.h"
#include "fireflythread/config/config_fault.h"
#include "fireflythread/config/fwd.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {

/// An edit that may be committed.
struct PlannedEdit {
  Transaction transaction;
  /// The configuration version that the edit makes.
  std::uint64_t version = 0;
  /// The row that the edit changes, e.g. "profile/steady".
  std::string key;
  /// The row version that the operator edited from.
  std::uint64_t from_version = 0;
};

/// The object has another version than the operator edited from.
struct EditConflict {
  std::uint64_t edited_from = 0;
  /// 0 when the object does not exist.
  std::uint64_t current = 0;
};

/// The new value, or the configuration it leads to, has faults.
struct EditInvalid {
  std::vector<ConfigFault> faults;
};

/// The object cannot be deleted because these objects name it.
struct EditInUse {
  std::vector<std::string> users;
};

using EditPlan =
    std::variant<PlannedEdit, EditConflict, EditInvalid, EditInUse>;

/// Turns an edit of `snapshot` into one transaction on the object's row,
/// `config/head` and a new `history` row. A configuration that already has
/// faults can be edited as long as the edit adds none.
[[nodiscard]] auto PlanEdit(const ConfigSnapshot& snapshot,
                            const ConfigEdit& edit) -> EditPlan;

/// The key of the history row of a version: 20 digits, so that keys sort.
[[nodiscard]] auto HistoryKey(std::uint64_t version) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_PLAN_EDIT_H_
