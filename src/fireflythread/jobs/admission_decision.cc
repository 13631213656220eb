#include "fireflythread/jobs/admission_decision.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "fireflythread/base/stable_hash.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/job_urgency.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<std::string_view, 3> kCauseNames = {"pool", "share",
                                                         "cap"};

/// Upper limit of the wait that a caller is told, before the spread. Estimates
/// of more than that are too uncertain.
constexpr seconds kMaxRetryAfter{30};

/// Refused clients return over as long a time as they were told to wait, but at
/// least over this one.
constexpr seconds kMinSpread{3};

/// The work ahead of a job.
struct WorkAhead {
  /// What goes first while the job can meet its deadline.
  WorkTime in_time{0};
  /// What may go first before the job's end of use.
  WorkTime useful{0};
};

/// Adds the work of a class whose jobs all go before a candidate's.
auto AddAll(WorkAhead& ahead, const ClassBacklog& backlog) -> void {
  for (const WorkTime work : backlog.in_time) {
    ahead.in_time += work;
    ahead.useful += work;
  }
  ahead.useful += backlog.late;
}

/// Adds the work of the candidate's own class. While the candidate can be in
/// time, it goes before what has a later deadline. Once it is late, all work in
/// time goes first.
auto AddOwn(WorkAhead& ahead, const ClassBacklog& backlog, milliseconds left)
    -> void {
  for (std::size_t group = 0; group < kDeadlineGroups; ++group) {
    const WorkTime work = backlog.in_time.at(group);
    ahead.useful += work;
    if (group < kDeadlineLimits.size() && kDeadlineLimits.at(group) <= left) {
      ahead.in_time += work;
    }
  }
  ahead.useful += backlog.late;
}

auto FindWorkAhead(const PriorityBacklogs& backlogs,
                   const AdmissionCandidate& candidate,
                   bool over_share) -> WorkAhead {
  WorkAhead ahead;
  for (const auto& [priority, backlog] : backlogs) {
    if (priority > candidate.priority) {
      break;
    }
    if (priority < candidate.priority) {
      AddAll(ahead, backlog.within_share);
      AddAll(ahead, backlog.over_share);
    } else if (over_share) {
      AddAll(ahead, backlog.within_share);
      AddOwn(ahead, backlog.over_share, candidate.objective);
    } else {
      AddOwn(ahead, backlog.within_share, candidate.objective);
    }
  }
  return ahead;
}

/// Returns whether a job with this work ahead would neither start in time nor
/// be of use.
auto IsOfNoUse(const WorkAhead& ahead, const AdmissionCandidate& candidate)
    -> bool {
  return ahead.in_time + candidate.critical_path > candidate.objective &&
         ahead.useful + candidate.critical_path >
             candidate.objective * kUsefulObjectives;
}

auto MakeRefusal(RefusalCause cause,
                 const WorkAhead& ahead,
                 const AdmissionCandidate& candidate) -> AdmissionRefusal {
  AdmissionRefusal refusal;
  refusal.cause = cause;
  // Clamped before the conversion, as absurd estimates would not fit.
  const WorkTime wait = std::min<WorkTime>(ahead.useful, std::chrono::hours(1));
  refusal.wait = std::chrono::ceil<milliseconds>(wait);
  const seconds base =
      std::clamp(std::chrono::ceil<seconds>(wait), seconds(1), kMaxRetryAfter);
  const auto spread =
      static_cast<std::uint64_t>(std::max(base, kMinSpread).count());
  refusal.retry_after =
      base + seconds(static_cast<seconds::rep>(candidate.hash % spread));
  return refusal;
}

}  // namespace

auto RefusalCauseName(RefusalCause cause) -> std::string_view {
  return kCauseNames.at(static_cast<std::size_t>(cause));
}

auto MakeAdmissionCandidate(const JobRequest& job)
    -> std::optional<AdmissionCandidate> {
  const bool refusable = std::none_of(job.steps.begin(), job.steps.end(),
                                      [](const JobStep& step) -> bool {
                                        return step.long_running || step.filler;
                                      });
  if (!refusable || job.steps.empty() || job.repeat_count > 0 ||
      job.first_due != WallTime() || !job.terms) {
    return std::nullopt;
  }
  AdmissionCandidate candidate;
  candidate.organisation = job.organisation;
  candidate.priority = job.terms->priority;
  candidate.critical_path = RemainingCriticalPath(job, 0);
  const double work = static_cast<double>(candidate.critical_path.count());
  candidate.objective =
      milliseconds(static_cast<std::int64_t>(work * job.terms->stretch)) +
      job.terms->latency_objective;
  candidate.hash = MixBits(StableHash(job.id.value));
  // Even at once a job without a sensible objective would be of no use.
  if (candidate.objective <= milliseconds(0) ||
      candidate.objective * kUsefulObjectives < candidate.critical_path) {
    return std::nullopt;
  }
  return candidate;
}

auto DecideAdmission(const Backlog& backlog,
                     Duration age,
                     const AdmissionCandidate& candidate)
    -> std::optional<AdmissionRefusal> {
  if (age > kMaxBacklogAge) {
    return std::nullopt;
  }
  const auto capped = backlog.capped.find(candidate.organisation);
  if (capped != backlog.capped.end()) {
    const WorkAhead ahead = FindWorkAhead(capped->second, candidate, false);
    if (IsOfNoUse(ahead, candidate)) {
      return MakeRefusal(RefusalCause::kCap, ahead, candidate);
    }
  }
  // An organisation that got more than its share, but has little waiting work
  // itself, is within it again before its work is of no use.
  const auto own_wait = backlog.over_share.find(candidate.organisation);
  const bool over_share =
      own_wait != backlog.over_share.end() &&
      IsOfNoUse({own_wait->second, own_wait->second}, candidate);
  const WorkAhead ahead = FindWorkAhead(backlog.pool, candidate, over_share);
  if (!IsOfNoUse(ahead, candidate)) {
    return std::nullopt;
  }
  const bool others_admitted =
      over_share &&
      !IsOfNoUse(FindWorkAhead(backlog.pool, candidate, false), candidate);
  return MakeRefusal(
      others_admitted ? RefusalCause::kShare : RefusalCause::kPool, ahead,
      candidate);
}

}  // namespace fireflythread
