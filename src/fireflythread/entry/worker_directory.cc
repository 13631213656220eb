#include "fireflythread/entry/worker_directory.h"

#include <chrono>
#include <utility>
#include <variant>

#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Pause after a page with changes, so that the changes of that time share one
/// page and one report. It is short, so that a worker gets no starts soon after
/// its registration says that it is draining.
constexpr milliseconds kPagePause{100};

}  // namespace

WorkerDirectory::WorkerDirectory(PlatformRecords& platform_records,
                                 std::function<void()> changed)
    : records(platform_records),
      on_change(std::move(changed)),
      retry([this] { this->loaded ? this->Follow() : this->Read(); }) {}

auto WorkerDirectory::SetNeeded(bool is_needed) -> void {
  if (is_needed == this->needed) {
    return;
  }
  this->needed = is_needed;
  if (is_needed) {
    this->Read();
    return;
  }
  this->followed = AliveToken();
  this->retry.Cancel();
  this->workers.clear();
  this->loaded = false;
}

auto WorkerDirectory::Retry() -> void {
  this->retry.Start(kStoreRetryDelay);
}

auto WorkerDirectory::Read() -> void {
  this->records.ListWorkers(
      kStoreTimeout, this->followed.Guard([this](auto&& result) {
        const auto* list = std::get_if<WorkerNews>(&result);
        if (list == nullptr) {
          this->Retry();
          return;
        }
        this->ApplyList(*list);
        this->Follow();
      }));
}

auto WorkerDirectory::ApplyList(const WorkerNews& list) -> void {
  this->workers.clear();
  for (const WorkerEntry& entry : list.present) {
    this->workers.emplace(entry.view.id, entry);
  }
  this->revision = list.revision;
  this->loaded = true;
  this->on_change();
}

auto WorkerDirectory::Follow() -> void {
  this->records.FollowWorkers(
      this->revision, kFollowWait, kFollowWait + kFollowSlack,
      this->followed.Guard([this](auto&& result) {
        const auto* news = std::get_if<WorkerNews>(&result);
        if (news == nullptr || news->history_lost) {
          // The workers that are known are kept until they are read again.
          this->loaded = news == nullptr;
          this->Retry();
          return;
        }
        const bool changed = this->ApplyChanges(*news);
        this->retry.Start(changed ? kPagePause : milliseconds(0));
      }));
}

auto WorkerDirectory::ApplyChanges(const WorkerNews& news) -> bool {
  this->revision = news.revision;
  for (const WorkerEntry& entry : news.present) {
    WorkerEntry& known = this->workers[entry.view.id];
    if (known.version <= entry.version) {
      known = entry;
    }
  }
  for (const RemovedWorker& removed : news.removed) {
    const auto known = this->workers.find(removed.id);
    if (known != this->workers.end() &&
        known->second.version <= removed.version) {
      this->workers.erase(known);
    }
  }
  const bool changed = !news.present.empty() || !news.removed.empty();
  if (changed) {
    this->on_change();
  }
  return changed;
}

}  // namespace fireflythread
