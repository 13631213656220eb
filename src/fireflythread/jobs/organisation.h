#ifndef FIREFLYTHREAD_JOBS_ORGANISATION_H_
#define FIREFLYTHREAD_JOBS_ORGANISATION_H_

#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// An organisation whose callers submit jobs, as the operator configured it.
struct Organisation {
  OrganisationName name;
  /// Keys by which callers show that they belong to the organisation. They must
  /// not appear in logs, metrics or stored rows.
  std::vector<std::string> api_keys;
  /// Share of the capacity, relative to the other organisations, while not all
  /// work finds room; besides, the jobs a second that it may claim.
  double weight = 1.0;
  /// Upper limit of what its runs hold on all workers together; 0 means no
  /// limit for that resource.
  TaskSize cap;
};

/// Returns whether an organisation's cap limits any resource.
[[nodiscard]] inline auto HasCap(const Organisation& organisation) -> bool {
  return organisation.cap != TaskSize{};
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ORGANISATION_H_
