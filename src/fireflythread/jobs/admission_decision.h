#ifndef FIREFLYTHREAD_JOBS_ADMISSION_DECISION_H_
#define FIREFLYTHREAD_JOBS_ADMISSION_DECISION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/backlog.h"
#include "fireflythread/jobs/fwd.h"

namespace fireflythread {

/// What the decision about a submission depends on.
struct AdmissionCandidate {
  OrganisationName organisation;
  int priority = 0;
  std::chrono::milliseconds critical_path{0};
  std::chrono::milliseconds objective{0};
  /// Hash of the job's id.
  std::uint64_t hash = 0;
};

/// What a refused submission lacks.
enum class RefusalCause : std::uint8_t {
  /// Workers.
  kPool,
  /// Workers; its organisation got more than its share lately, and jobs of
  /// others are admitted.
  kShare,
  /// Room below its organisation's cap.
  kCap
};

/// Returns "pool", "share" or "cap".
[[nodiscard]] auto RefusalCauseName(RefusalCause cause) -> std::string_view;

struct AdmissionRefusal {
  RefusalCause cause = RefusalCause::kPool;
  /// Estimated wait of the job.
  std::chrono::milliseconds wait{0};
  /// Time after which the job should be submitted again.
  std::chrono::seconds retry_after{0};
};

/// An older estimate refuses nothing: a load peak may have ended since.
inline constexpr std::chrono::milliseconds kMaxBacklogAge{2000};

/// Returns no value for a job that is never refused: one with a long-running
/// step, a filler, a schedule or a start time, or without an objective.
[[nodiscard]] auto MakeAdmissionCandidate(const JobRequest& job)
    -> std::optional<AdmissionCandidate>;

/// Refuses a job only if, by an estimate of this age, it would end too late to
/// be of use. Returns no value if the job is admitted.
[[nodiscard]] auto DecideAdmission(const Backlog& backlog,
                                   Duration age,
                                   const AdmissionCandidate& candidate)
    -> std::optional<AdmissionRefusal>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ADMISSION_DECISION_H_
