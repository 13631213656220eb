#ifndef FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_
#define FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/platform/platform_records.h"

namespace fireflythread {

/// The workers' registrations, read once and then followed for as long as they
/// are needed, that is while this entry owns a shard. An entry that owns none
/// spends nothing on them, however many workers there are.
class WorkerDirectory {
 public:
  using Workers = std::map<WorkerId, WorkerEntry>;

  /// `on_change` is called after the registrations were read and after each
  /// change. Changes that follow one another are reported together.
  WorkerDirectory(PlatformRecords& records, std::function<void()> on_change);
  WorkerDirectory(const WorkerDirectory&) = delete;
  auto operator=(const WorkerDirectory&) -> WorkerDirectory& = delete;

  /// Sets whether the registrations are needed. Starts to read and follow them,
  /// or stops and forgets them.
  auto SetNeeded(bool is_needed) -> void;

  /// Returns whether the registrations are known.
  [[nodiscard]] auto IsLoaded() const -> bool { return this->loaded; }

  /// Returns the workers of all services.
  [[nodiscard]] auto List() const -> const Workers& { return this->workers; }

 private:
  auto Read() -> void;
  auto Follow() -> void;
  auto ApplyList(const WorkerNews& list) -> void;
  /// Returns whether there was a change.
  auto ApplyChanges(const WorkerNews& news) -> bool;
  auto Retry() -> void;

  PlatformRecords& records;
  std::function<void()> on_change;
  Workers workers;
  std::uint64_t revision = 0;
  bool needed = false;
  bool loaded = false;
  OneShotTimer retry;
  /// Replaced when the directory is not needed any more, so that the answer to
  /// a call in flight has no effect.
  AliveToken followed;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_WORKER_DIRECTORY_H_
