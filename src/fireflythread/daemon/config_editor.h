#ifndef FIREFLYTHREAD_DAEMON_CONFIG_EDITOR_H_
#define FIREFLYTHREAD_DAEMON_CONFIG_EDITOR_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "fireflythread/admin/edit_request.h"
#include "fireflythread/admin/edit_result.h"
#include "fireflythread/config/config_edit.h"
#include "fireflythread/config/edit_result.h"
#include "fireflythread/config/plan_edit.h"
#include "fireflythread/platform/transaction_outcome.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

class CellTask;
class Logger;
class PlatformClient;
class StateTask;

/// Carries out operators' edits: plans each on the current configuration,
/// commits it, settles lost answers and waits for acceptance.
class ConfigEditor {
 public:
  using Callback = std::function<void(admin::EditResult)>;

  ConfigEditor(const DaemonSettings& settings,
               std::uint64_t incarnation,
               PlatformClient& platform,
               const Logger& logger,
               StateTask& state,
               CellTask& cells);

  auto Edit(const admin::EditRequest& request, Callback callback) -> void;

 private:
  struct Attempt;

  auto Commit(const std::shared_ptr<Attempt>& attempt) -> void;
  auto Finish(const std::shared_ptr<Attempt>& attempt,
              const TransactionOutcome& outcome) -> void;
  auto ReadBack(const std::shared_ptr<Attempt>& attempt) -> void;
  auto Report(const std::shared_ptr<Attempt>& attempt,
              const EditCommitted& committed) -> void;
  auto ReportConflict(const std::shared_ptr<Attempt>& attempt,
                      const EditConflict& conflict) -> void;

  const DaemonSettings& settings;
  std::uint64_t incarnation;
  PlatformClient& platform;
  const Logger& logger;
  StateTask& state;
  CellTask& cells;
  std::uint64_t edits = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_CONFIG_EDITOR_H_
