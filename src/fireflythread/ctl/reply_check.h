#ifndef FIREFLYTHREAD_CTL_REPLY_CHECK_H_
#define FIREFLYTHREAD_CTL_REPLY_CHECK_H_

#include "fireflythread/ctl/exit_code.h"
#include "fireflythread/ctl/fwd.h"

namespace fireflythread::ctl {

/// The exit code for a reply's status.
[[nodiscard]] auto ExitCodeOf(const ApiReply& reply) -> ExitCode;

/// Writes the server's message for a reply that is no success and gives the
/// exit code; kOk for a success.
[[nodiscard]] auto CheckReply(const ApiReply& reply, Output& output)
    -> ExitCode;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_REPLY_CHECK_H_
