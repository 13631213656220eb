#ifndef FIREFLYTHREAD_CTL_CONFIG_VERBS_H_
#define FIREFLYTHREAD_CTL_CONFIG_VERBS_H_

#include <cstdint>

#include "fireflythread/base/time.h"
#include "fireflythread/ctl/verb.h"

namespace fireflythread::ctl {

[[nodiscard]] auto ShowConfigVersion(const Options& options,
                                     const Arguments& arguments,
                                     Api& api,
                                     Output& output) -> ExitCode;

/// Waits until a version, by default the newest, is in force at every serving
/// entry.
[[nodiscard]] auto WaitForConfig(const Options& options,
                                 const Arguments& arguments,
                                 Api& api,
                                 Output& output) -> ExitCode;

/// Waits until a majority of members has applied `version`.
[[nodiscard]] auto WaitForAcceptance(std::uint64_t version,
                                     Duration timeout,
                                     Api& api,
                                     Output& output) -> ExitCode;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_CONFIG_VERBS_H_
