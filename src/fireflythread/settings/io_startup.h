#ifndef FIREFLYTHREAD_SETTINGS_IO_STARTUP_H_
#define FIREFLYTHREAD_SETTINGS_IO_STARTUP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/settings/fwd.h"

namespace fireflythread {

/// Exit statuses of the daemons.
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

/// A random number that names this life of the process.
[[nodiscard]] auto DrawIncarnation() -> std::uint64_t;

/// Prints one line for each fault to standard error and gives the exit status.
[[nodiscard]] auto ReportFaults(const std::vector<SettingsFault>& faults)
    -> int;

/// Prints that a settings file has no fault and gives the exit status.
[[nodiscard]] auto ReportValid(const std::string& path) -> int;

/// Reads the command line. Writes to connections that a peer has closed report
/// an error from here on and do not end the process.
auto ParseDaemonArguments(int argc, char** argv) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_IO_STARTUP_H_
