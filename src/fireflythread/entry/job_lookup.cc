#include "fireflythread/entry/job_lookup.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "fireflythread/entry/call_deadline.h"
#include "fireflythread/entry/run_later.h"
#include "fireflythread/jobs/cancel_tombstone.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"

namespace fireflythread {
namespace {

/// The tables that may hold a job, in the order in which they are read. The
/// rows of an ended job are moved from the first two to the third in one
/// transaction, so a job that is missing from those is in the third.
enum class LookupTable : std::uint8_t { kProgress, kJobs, kEnded };

/// What the rows of a table tell of a job: its state, kNoJob if the caller must
/// not learn of it, kUnknown if they are unreadable, or no value if the job is
/// not in the table.
using Finding = std::optional<std::variant<JobState, JobRequestOutcome>>;

auto MakeRange(LookupTable table, const ShardName& shard, const JobId& job)
    -> RangeRequest {
  if (table == LookupTable::kJobs) {
    return {JobTable(shard), shard.value, job.value + "/", job.value + "0"};
  }
  const std::string name(table == LookupTable::kProgress ? kProgressTable
                                                         : kEndedTable);
  return {name, shard.value, job.value, job.value + '\x01'};
}

auto ToFinding(const std::optional<JobState>& state) -> Finding {
  if (state) {
    return *state;
  }
  return JobRequestOutcome::kUnknown;
}

auto ReadProgressRow(const Row& row) -> Finding {
  return ToFinding(DecodeJobState(row.value));
}

auto ReadEndedRow(const Row& row) -> Finding {
  if (DecodeCancelTombstone(row.value)) {
    return std::nullopt;
  }
  const auto ended = DecodeEndedJob(row.value);
  return ToFinding(ended ? std::optional(ended->state) : std::nullopt);
}

/// A cancellation without a job row was stored while its job was moved.
auto ReadJobRows(const std::vector<Row>& rows,
                 const std::optional<OrganisationName>& caller) -> Finding {
  const Row* job = nullptr;
  bool cancelled = false;
  for (const Row& row : rows) {
    const auto key = ParseJobTableKey(row.key);
    if (key && key->is_cancel) {
      cancelled = true;
    } else if (key) {
      job = &row;
    }
  }
  if (job == nullptr) {
    return std::nullopt;
  }
  if (!MayAccess(caller, DecodeRowOrganisation(job->value))) {
    return JobRequestOutcome::kNoJob;
  }
  return cancelled ? JobState::kCancelled : JobState::kQueued;
}

auto ReadRows(LookupTable table,
              const std::vector<Row>& rows,
              const std::optional<OrganisationName>& caller) -> Finding {
  if (table == LookupTable::kJobs) {
    return ReadJobRows(rows, caller);
  }
  if (rows.empty()) {
    return std::nullopt;
  }
  const Row& row = rows.front();
  const Finding finding = table == LookupTable::kProgress ? ReadProgressRow(row)
                                                          : ReadEndedRow(row);
  if (finding && !MayAccess(caller, DecodeRowOrganisation(row.value))) {
    return JobRequestOutcome::kNoJob;
  }
  return finding;
}

}  // namespace

struct JobLookup::Pending {
  Query query;
  Callback callback;
  /// Index of the shard that is searched.
  std::size_t shard = 0;
  LookupTable table = LookupTable::kProgress;
};

/// Goes on to the next table, or to the first one of the next shard.
auto JobLookup::Advance(Pending& pending) -> void {
  switch (pending.table) {
    case LookupTable::kProgress:
      pending.table = LookupTable::kJobs;
      return;
    case LookupTable::kJobs:
      pending.table = LookupTable::kEnded;
      return;
    case LookupTable::kEnded:
      pending.table = LookupTable::kProgress;
      ++pending.shard;
  }
}

JobLookup::JobLookup(TableStore& table_store, const Logger& log)
    : store(table_store), logger(log) {}

auto JobLookup::Find(Query query, Callback callback) -> void {
  this->ReadTable(std::make_shared<Pending>(
      Pending{std::move(query), std::move(callback)}));
}

auto JobLookup::ReadTable(const std::shared_ptr<Pending>& pending) -> void {
  const Query& query = pending->query;
  this->store.ReadRange(
      MakeRange(pending->table, query.shards[pending->shard], query.job),
      CallTimeout(query.deadline),
      this->alive.Guard([this, pending](auto&& result) {
        const auto* page = std::get_if<RangePage>(&result);
        if (page == nullptr) {
          this->Retry(pending);
        } else {
          this->ApplyRows(pending, page->rows);
        }
      }));
}

auto JobLookup::ApplyRows(const std::shared_ptr<Pending>& pending,
                          const std::vector<Row>& rows) -> void {
  const Query& query = pending->query;
  const Finding finding = ReadRows(pending->table, rows, query.caller);
  if (finding) {
    if (const auto* state = std::get_if<JobState>(&*finding)) {
      pending->callback(FoundJob{query.shards[pending->shard], *state});
      return;
    }
    const auto outcome = std::get<JobRequestOutcome>(*finding);
    if (outcome == JobRequestOutcome::kUnknown) {
      this->logger.Error("desk", "unreadable_progress", {{"job", query.job}});
    }
    pending->callback(outcome);
    return;
  }
  Advance(*pending);
  if (pending->shard == query.shards.size()) {
    pending->callback(JobRequestOutcome::kNoJob);
    return;
  }
  this->ReadTable(pending);
}

auto JobLookup::Retry(const std::shared_ptr<Pending>& pending) -> void {
  if (!HasTimeToRetry(pending->query.deadline)) {
    pending->callback(JobRequestOutcome::kUnknown);
    return;
  }
  // The job may have been moved meanwhile.
  pending->table = LookupTable::kProgress;
  RunLater(kCallRetryDelay,
           this->alive.Guard([this, pending]() { this->ReadTable(pending); }));
}

}  // namespace fireflythread
