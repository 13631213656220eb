#ifndef FIREFLYTHREAD_DAEMON_REGISTRATION_TASK_H_
#define FIREFLYTHREAD_DAEMON_REGISTRATION_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/daemon/entry_record.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

class Logger;

/// Keeps this entry's row in the table `entry` and reads those of the others.
class RegistrationTask {
 public:
  /// `predecessor_gone` is called once if the row shows that the entry's
  /// earlier process stopped gracefully, or if there was none. `registered`
  /// is called once when the row is written.
  RegistrationTask(const DaemonSettings& settings,
                   EntryRecord own,
                   PlatformClient& platform,
                   const Logger& logger,
                   std::function<void()> predecessor_gone,
                   std::function<void()> registered);

  auto Start() -> void;
  /// Marks the entry as stopped and calls back, also when the store is down.
  auto Stop(std::function<void()> done) -> void;

  [[nodiscard]] auto Entries() const -> const std::map<EntryId, EntryRecord>&;

  /// Why the zones that this entry states for its cell cannot hold beside
  /// those of an entry that registered earlier, in words; empty while they can.
  /// An entry that is not registered yet does not register meanwhile.
  [[nodiscard]] auto ClaimConflict() const -> const std::string&;

 private:
  auto Refresh() -> void;
  auto CheckClaims() -> void;
  auto Write(EntryState state, std::function<void(bool)> done) -> void;

  const DaemonSettings& settings;
  EntryRecord own;
  PlatformClient& platform;
  const Logger& logger;
  std::function<void()> predecessor_gone;
  std::function<void()> registered_callback;
  std::map<EntryId, EntryRecord> entries;
  std::string claim_conflict;
  bool registered = false;
  bool reading = false;
  bool writing = false;
  bool stopping = false;
  std::unique_ptr<PeriodicTimer> timer;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_REGISTRATION_TASK_H_
