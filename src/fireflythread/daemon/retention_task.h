#ifndef FIREFLYTHREAD_DAEMON_RETENTION_TASK_H_
#define FIREFLYTHREAD_DAEMON_RETENTION_TASK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "fireflythread/platform/row_page.h"
#include "fireflythread/retention/removal.h"
#include "fireflythread/retention/retention_limits.h"
#include "fireflythread/retention/retention_scan.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

class Logger;
class PlatformClient;
class RegistrationTask;
struct LeaseState;

/// Removes old rows while this entry is the controller. ControllerTask owns it
/// and calls it.
class RetentionTask {
 public:
  struct Dependencies {
    const DaemonSettings& settings;
    PlatformClient& platform;
    const Logger& logger;
    const RegistrationTask& registration;
    const LeaseState& lease;
  };

  explicit RetentionTask(Dependencies dependencies);

  /// Starts a new pass and forgets the earlier term's.
  auto BeginTerm() -> void;
  auto Step() -> void;

 private:
  auto TakePage(const RowPage& page) -> void;
  /// Deletes the objects of the removals from `next` on, then commits.
  auto DeleteObjects(const std::shared_ptr<std::vector<Removal>>& removals,
                     std::size_t next) -> void;
  auto Commit(const std::vector<Removal>& removals) -> void;

  Dependencies deps;
  RetentionLimits limits;
  RetentionScan scan;
  /// Raised with each term; answers to an earlier term's calls are dropped.
  std::uint64_t term = 0;
  /// A page is being read or its rows removed.
  bool busy = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_RETENTION_TASK_H_
