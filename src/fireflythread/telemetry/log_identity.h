#ifndef FIREFLYTHREAD_TELEMETRY_LOG_IDENTITY_H_
#define FIREFLYTHREAD_TELEMETRY_LOG_IDENTITY_H_

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// What every log line and span of a process says about its origin.
struct LogIdentity {
  EntryId entry;
  ZoneName zone;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LOG_IDENTITY_H_
