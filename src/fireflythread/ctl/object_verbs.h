#ifndef FIREFLYTHREAD_CTL_OBJECT_VERBS_H_
#define FIREFLYTHREAD_CTL_OBJECT_VERBS_H_

#include "fireflythread/admin/object_kind.h"
#include "fireflythread/ctl/verb.h"

namespace fireflythread::ctl {

[[nodiscard]] auto ListObjects(admin::ObjectKind kind,
                               const Options& options,
                               Api& api,
                               Output& output) -> ExitCode;
[[nodiscard]] auto ShowObject(admin::ObjectKind kind,
                              const Options& options,
                              const Arguments& arguments,
                              Api& api,
                              Output& output) -> ExitCode;

/// Reads the object, sets the given fields and sends it back with the version
/// that was read as If-Match. An object that does not exist is created.
[[nodiscard]] auto SetObject(admin::ObjectKind kind,
                             const Options& options,
                             const Arguments& arguments,
                             Api& api,
                             Output& output) -> ExitCode;
[[nodiscard]] auto DeleteObject(admin::ObjectKind kind,
                                const Options& options,
                                const Arguments& arguments,
                                Api& api,
                                Output& output) -> ExitCode;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_OBJECT_VERBS_H_
