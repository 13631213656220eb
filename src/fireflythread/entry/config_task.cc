#include "fireflythread/entry/config_task.h"

#include <utility>
#include <variant>

#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {
ConfigTask::ConfigTask(PlatformRecords& platform_records,
                       const Logger& log,
                       std::function<void()> changed)
    : records(platform_records),
      logger(log),
      on_change(std::move(changed)),
      retry([this] { this->must_read ? this->Read() : this->Follow(); }) {}

auto ConfigTask::Start() -> void {
  this->Read();
}

auto ConfigTask::Current() const -> const Configuration* {
  return this->configuration ? &*this->configuration : nullptr;
}

auto ConfigTask::Read() -> void {
  this->records.ReadOperator(kStoreTimeout,
                             this->alive.Guard([this](auto&& result) {
                               auto* news = std::get_if<OperatorNews>(&result);
                               if (news == nullptr) {
                                 this->retry.Start(kStoreRetryDelay);
                                 return;
                               }
                               this->must_read = false;
                               this->Apply(std::move(*news));
                               this->Follow();
                             }));
}

auto ConfigTask::Follow() -> void {
  this->records.FollowOperator(
      this->revision, kFollowWait, kFollowWait + kFollowSlack,
      this->alive.Guard([this](auto&& result) {
        auto* news = std::get_if<OperatorNews>(&result);
        if (news == nullptr) {
          this->retry.Start(kStoreRetryDelay);
          return;
        }
        if (news->history_lost) {
          this->must_read = true;
          this->Read();
          return;
        }
        this->Apply(std::move(*news));
        this->Follow();
      }));
}

auto ConfigTask::Apply(OperatorNews news) -> void {
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
