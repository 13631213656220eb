#ifndef FIREFLYTHREAD_JOBS_QUEUE_TERMS_H_
#define FIREFLYTHREAD_JOBS_QUEUE_TERMS_H_

#include <chrono>

namespace fireflythread {

/// What a queue's configuration says about the running of its jobs.
struct QueueTerms {
  /// Priority: 0 runs first, higher values later.
  int priority = 0;
  /// Number of failed runs of one task after which its job fails.
  int max_attempts = 1;
  /// The latency objective of a job is `stretch` times the length of its
  /// critical path, plus `latency_objective`.
  double stretch = 1.0;
  std::chrono::milliseconds latency_objective{0};

  auto operator==(const QueueTerms&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_TERMS_H_
