#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_DECISION_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_DECISION_H_

#include <vector>

#include "fireflythread/control/controller_report.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"

namespace fireflythread {

/// The result of a controller step, which the daemon carries out. Commands are
/// idempotent and are repeated in later steps until their effect is observed.
struct ControllerDecision {
  /// Holds at most one transaction. Each transaction increments `fleet/head`
  /// and is conditioned on that row's version, so a second one would need the
  /// version that only the commit of the first one yields.
  std::vector<Transaction> transactions;
  std::vector<VmCommand> commands;
  ControllerReport report;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_DECISION_H_
