#ifndef FIREFLYTHREAD_CTL_VIEW_VERBS_H_
#define FIREFLYTHREAD_CTL_VIEW_VERBS_H_

#include "fireflythread/ctl/verb.h"

namespace fireflythread::ctl {

[[nodiscard]] auto ListVms(const Options& options,
                           const Arguments& arguments,
                           Api& api,
                           Output& output) -> ExitCode;
[[nodiscard]] auto ShowVm(const Options& options,
                          const Arguments& arguments,
                          Api& api,
                          Output& output) -> ExitCode;
[[nodiscard]] auto ShowStatus(const Options& options,
                              const Arguments& arguments,
                              Api& api,
                              Output& output) -> ExitCode;
[[nodiscard]] auto ShowHistory(const Options& options,
                               const Arguments& arguments,
                               Api& api,
                               Output& output) -> ExitCode;
[[nodiscard]] auto ShowTrace(const Options& options,
                             const Arguments& arguments,
                             Api& api,
                             Output& output) -> ExitCode;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_VIEW_VERBS_H_
