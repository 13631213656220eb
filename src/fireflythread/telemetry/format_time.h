#ifndef FIREFLYTHREAD_TELEMETRY_FORMAT_TIME_H_
#define FIREFLYTHREAD_TELEMETRY_FORMAT_TIME_H_

#include <string>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// UTC in ISO 8601 with milliseconds, e.g. "2026-12-04T05:06:07.089Z".
[[nodiscard]] auto FormatWallTime(WallTime time) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_FORMAT_TIME_H_
