#ifndef FIREFLYTHREAD_TELEMETRY_IO_STDOUT_LOGGER_H_
#define FIREFLYTHREAD_TELEMETRY_IO_STDOUT_LOGGER_H_

#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// A logger that writes JSON lines to standard output with the system's time.
/// It leaves lines out rather than block or exceed LineBudget; the next line
/// that is written tells how many.
[[nodiscard]] auto MakeStdoutLogger(LogIdentity identity, LogLevel least)
    -> Logger;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_IO_STDOUT_LOGGER_H_
