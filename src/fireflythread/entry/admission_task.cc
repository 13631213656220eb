#include "fireflythread/entry/admission_task.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/backlog_tables.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/job_request.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Pause after a page, so that the rows of several shards share the next one.
constexpr milliseconds kPagePause{100};

/// Delay before a failed call is retried. Until then nothing is refused, which
/// does no harm, so the store is spared.
constexpr milliseconds kRetryDelay{1000};

/// Minimum time between two records of refusals in the log.
constexpr std::chrono::seconds kRefusedLogPeriod{1};

}  // namespace

AdmissionTask::AdmissionTask(TableStore& table_store,
                             const Logger& log,
                             MetricsRegistry& registry)
    : store(table_store),
      logger(log),
      metrics(registry),
      retry([this] { this->loaded ? this->Follow() : this->Read(); }) {}

auto AdmissionTask::SetConfiguration(const Configuration& configuration)
    -> void {
  const bool needed =
      configuration.requires_keys && !configuration.organisations.empty();
  if (needed == this->active) {
    return;
  }
  this->active = needed;
  if (needed) {
    this->Read();
    return;
  }
  this->followed = AliveToken();
  this->retry.Cancel();
  this->loaded = false;
  this->estimates.clear();
}

auto AdmissionTask::Read() -> void {
  // The rows are of unknown age, so only the revision is used. Owners write
  // theirs again while it matters.
  this->store.ReadRange(
      {std::string(kBacklogTable), std::string(kBacklogPart)}, kStoreTimeout,
      this->followed.Guard([this, sent_at = ReadBootClock()](auto&& result) {
        const auto* page = std::get_if<RangePage>(&result);
        if (page == nullptr) {
          this->retry.Start(kRetryDelay);
          return;
        }
        this->revision = page->revision;
        this->complete_until = sent_at;
        this->loaded = true;
        this->Follow();
      }));
}

auto AdmissionTask::Follow() -> void {
  this->store.Follow(std::string(kBacklogTable), this->revision,
                     kBacklogFollowWait, kBacklogFollowWait + kFollowSlack,
                     this->followed.Guard([this](auto&& result) {
                       const auto* page = std::get_if<FeedPage>(&result);
                       if (page == nullptr || page->history_lost) {
                         this->loaded = page == nullptr;
                         this->retry.Start(kRetryDelay);
                         return;
                       }
                       this->ApplyPage(*page, ReadBootClock());
                       this->retry.Start(kPagePause);
                     }));
}

auto AdmissionTask::ApplyPage(const FeedPage& page, TimePoint now) -> void {
  this->revision = page.revision;
  for (const Row& row : page.changed) {
    this->ApplyRow(row);
  }
  this->complete_until = now;
}

auto AdmissionTask::ApplyRow(const Row& row) -> void {
  auto decoded = DecodeBacklog(row.value);
  if (!decoded) {
    this->logger.Warning("shard", "unreadable_row",
                         {{"table", row.table}, {"key", row.key}});
    return;
  }
  Estimate& estimate = this->estimates[ShardName(row.key)];
  if (row.version <= estimate.version || decoded->fence < estimate.row.fence) {
    return;
  }
  estimate = {std::move(*decoded), row.version, this->complete_until};
}

auto AdmissionTask::Decide(const ShardName& shard,
                           const JobRequest& job,
                           TimePoint now) const
    -> std::optional<AdmissionRefusal> {
  const auto estimate = this->estimates.find(shard);
  if (!this->active || estimate == this->estimates.end()) {
    return std::nullopt;
  }
  const auto candidate = MakeAdmissionCandidate(job);
  if (!candidate) {
    return std::nullopt;
  }
  return DecideAdmission(estimate->second.row.backlog,
                         now - estimate->second.as_of, *candidate);
}

auto AdmissionTask::RecordRefusal(const ShardName& shard,
                                  const JobRequest& job,
                                  const AdmissionRefusal& refusal,
                                  TimePoint now) -> void {
  const std::string cause(RefusalCauseName(refusal.cause));
  this->metrics
      .GetCounter("fireflythread_refused_submissions_total",
                  "Submissions refused by the estimated wait, by cause",
                  {{"cause", cause}})
      .Add();
  ++this->refused[refusal.cause];
  if (now - this->refused_logged_at < kRefusedLogPeriod) {
    return;
  }
  this->refused_logged_at = now;
  auto counts = std::exchange(this->refused, {});
  this->logger.Info("jobs", "submissions_refused",
                    {{"pool", counts[RefusalCause::kPool]},
                     {"share", counts[RefusalCause::kShare]},
                     {"cap", counts[RefusalCause::kCap]},
                     {"last_job", job.id},
                     {"last_cause", cause},
                     {"last_organisation", job.organisation},
                     {"last_shard", shard},
                     {"last_wait_ms", refusal.wait.count()},
                     {"last_retry_after_s", refusal.retry_after.count()}});
}

}  // namespace fireflythread
