#ifndef FIREFLYTHREAD_CTL_MAINTENANCE_VERBS_H_
#define FIREFLYTHREAD_CTL_MAINTENANCE_VERBS_H_

#include "fireflythread/ctl/verb.h"

namespace fireflythread::ctl {

[[nodiscard]] auto DeclareMaintenance(const Options& options,
                                      const Arguments& arguments,
                                      Api& api,
                                      Output& output) -> ExitCode;
[[nodiscard]] auto ListMaintenance(const Options& options,
                                   const Arguments& arguments,
                                   Api& api,
                                   Output& output) -> ExitCode;
[[nodiscard]] auto ShowMaintenance(const Options& options,
                                   const Arguments& arguments,
                                   Api& api,
                                   Output& output) -> ExitCode;
[[nodiscard]] auto CancelMaintenance(const Options& options,
                                     const Arguments& arguments,
                                     Api& api,
                                     Output& output) -> ExitCode;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_MAINTENANCE_VERBS_H_
