#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_DECISION_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_DECISION_H_

#include <vector>

#include "fireflythread/control/controller_report.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"

namespace fireflythread {

/// What the daemon carries out after a step. Commands are idempotent and come
/// again in later steps until their effect is seen.
struct ControllerDecision {
  /// At most one transaction: it raises `fleet/head` by one, and a second one
  /// would need the version that the first gives the head row.
  std::vector<Transaction> transactions;
  std::vector<VmCommand> commands;
  ControllerReport report;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_DECISION_H_
