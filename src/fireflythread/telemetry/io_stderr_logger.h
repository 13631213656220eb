#ifndef FIREFLYTHREAD_TELEMETRY_IO_STDERR_LOGGER_H_
#define FIREFLYTHREAD_TELEMETRY_IO_STDERR_LOGGER_H_

#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// A logger that writes JSON lines to standard error with the system's time.
[[nodiscard]] auto MakeStderrLogger(LogIdentity identity, LogLevel least)
    -> Logger;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_IO_STDERR_LOGGER_H_
