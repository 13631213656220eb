#ifndef FIREFLYTHREAD_ENTRY_JOB_REQUEST_OUTCOME_H_
#define FIREFLYTHREAD_ENTRY_JOB_REQUEST_OUTCOME_H_

#include <cstdint>

namespace fireflythread {

/// The outcome of a caller's request, other than a job's state.
enum class JobRequestOutcome : std::uint8_t {
  /// The job or its cancellation is accepted, now or by an earlier request.
  kStored,
  /// Nothing was stored or will be stored.
  kNotStored,
  /// The result is not known: the request may have been stored. A repeat of the
  /// request finds out.
  kUnknown,
  /// There is no such job.
  kNoJob,
  /// Nothing was stored or will be stored in this shard: the job's queue is
  /// assigned to another one.
  kMoved,
  /// Nothing was stored or will be stored: another organisation has a job with
  /// this id.
  kForeign,
  /// No tombstone was stored: the job exists.
  kJobExists
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_REQUEST_OUTCOME_H_
