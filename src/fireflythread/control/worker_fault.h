#ifndef FIREFLYTHREAD_CONTROL_WORKER_FAULT_H_
#define FIREFLYTHREAD_CONTROL_WORKER_FAULT_H_

#include <string>

namespace fireflythread {

/// A worker that entries have ejected: they send it no more requests.
struct WorkerFault {
  /// Number of entries that report the ejection now.
  int reporters = 0;
  std::string reason;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WORKER_FAULT_H_
