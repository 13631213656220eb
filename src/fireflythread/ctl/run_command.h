#ifndef FIREFLYTHREAD_CTL_RUN_COMMAND_H_
#define FIREFLYTHREAD_CTL_RUN_COMMAND_H_

#include <string>
#include <vector>

#include "fireflythread/ctl/exit_code.h"
#include "fireflythread/ctl/fwd.h"

namespace fireflythread::ctl {

/// Finds the verb that `words` begin with, checks the number of its arguments
/// and runs it, or shows its help.
[[nodiscard]] auto RunCommand(const std::vector<std::string>& words,
                              const Options& options,
                              bool help,
                              Api& api,
                              Output& output) -> ExitCode;

/// The program's help: all verbs, flags and exit codes.
[[nodiscard]] auto GeneralHelp() -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_RUN_COMMAND_H_
