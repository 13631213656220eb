#include "fireflythread/entry/config_task.h"

#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {
namespace {

/// A caller may repeat a submission for this long.
constexpr std::chrono::minutes kRepeatTime{2};

}  // namespace

ConfigTask::ConfigTask(PlatformRecords& platform_records,
                       const Logger& log,
                       std::function<void()> changed)
    : records(platform_records),
      logger(log),
      on_change(std::move(changed)),
      retry([this] { this->must_read ? this->Read() : this->Follow(); }) {}

auto ConfigTask::Start() -> void {
  this->started_at = ReadBootClock();
  this->Read();
}

auto ConfigTask::Current() const -> const Configuration* {
  return this->configuration ? &*this->configuration : nullptr;
}

auto ConfigTask::MayHaveMoved(const QueueName& queue) const -> bool {
  const TimePoint now = ReadBootClock();
  const auto moved = this->moved_at.find(queue);
  return now - this->started_at < kRepeatTime ||
         (moved != this->moved_at.end() && now - moved->second < kRepeatTime);
}

auto ConfigTask::NoteMoves(const Configuration& next) -> void {
  if (!this->configuration) {
    return;
  }
  std::map<QueueName, ServiceName> before;
  for (const Queue& queue : this->configuration->queues) {
    before.emplace(queue.name, queue.service);
  }
  for (const Queue& queue : next.queues) {
    const auto known = before.find(queue.name);
    if (known != before.end() && known->second != queue.service) {
      this->moved_at[queue.name] = ReadBootClock();
    }
  }
}

auto ConfigTask::Read() -> void {
  this->records.ReadOperator(kStoreTimeout,
                             this->alive.Guard([this](auto&& result) {
                               auto* news = std::get_if<OperatorNews>(&result);
                               if (news == nullptr) {
                                 this->retry.Start(kStoreRetry);
                                 return;
                               }
                               this->must_read = false;
                               this->Take(std::move(*news));
                               this->Follow();
                             }));
}

auto ConfigTask::Follow() -> void {
  this->records.FollowOperator(
      this->revision, kFollowWait, kFollowWait + kFollowSlack,
      this->alive.Guard([this](auto&& result) {
        auto* news = std::get_if<OperatorNews>(&result);
        if (news == nullptr) {
          this->retry.Start(kStoreRetry);
          return;
        }
        if (news->history_lost) {
          this->must_read = true;
          this->Read();
          return;
        }
        this->Take(std::move(*news));
        this->Follow();
      }));
}

auto ConfigTask::Take(OperatorNews news) -> void {
  this->revision = news.revision;
  bool changed = false;
  for (WaveRequest& wave : news.waves) {
    changed = true;
    const std::int64_t number = wave.number;
    this->waves.insert_or_assign(number, std::move(wave));
  }
  const bool newer = news.configuration &&
                     (!this->configuration || news.configuration->version >
                                                  this->configuration->version);
  if (newer) {
    this->NoteMoves(*news.configuration);
    this->configuration = std::move(news.configuration);
    this->logger.Info("config", "configuration_applied",
                      {{"version", this->configuration->version},
                       {"queues", this->configuration->queues.size()},
                       {"services", this->configuration->services.size()}});
  }
  if (newer || changed) {
    this->on_change();
  }
}

}  // namespace fireflythread
