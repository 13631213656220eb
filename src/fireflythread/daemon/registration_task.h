#ifndef FIREFLYTHREAD_DAEMON_REGISTRATION_TASK_H_
#define FIREFLYTHREAD_DAEMON_REGISTRATION_TASK_H_

#include <functional>
#include <map>
#include <memory>

#include "fireflythread/base/ids.h"
#include "fireflythread/daemon/entry_record.h"
#include "fireflythread/daemon/periodic_timer.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

class Logger;

/// Keeps this entry's row in the table `entry` and reads those of the others.
class RegistrationTask {
 public:
  /// `predecessor_gone` is called once if the row shows that the entry's
  /// earlier process stopped gracefully, or if there was none.
  RegistrationTask(const DaemonSettings& settings,
                   EntryRecord own,
                   PlatformClient& platform,
                   const Logger& logger,
                   std::function<void()> predecessor_gone);

  auto Start() -> void;
  /// Marks the entry as stopped and calls back, also when the store is down.
  auto Stop(std::function<void()> done) -> void;

  [[nodiscard]] auto Entries() const -> const std::map<EntryId, EntryRecord>&;

 private:
  auto Refresh() -> void;
  auto Write(EntryState state, std::function<void(bool)> done) -> void;

  const DaemonSettings& settings;
  EntryRecord own;
  PlatformClient& platform;
  const Logger& logger;
  std::function<void()> predecessor_gone;
  std::map<EntryId, EntryRecord> entries;
  bool registered = false;
  bool reading = false;
  bool writing = false;
  bool stopping = false;
  std::unique_ptr<PeriodicTimer> timer;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_REGISTRATION_TASK_H_
