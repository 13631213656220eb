#ifndef FIREFLYTHREAD_SETTINGS_CHECK_SETTINGS_H_
#define FIREFLYTHREAD_SETTINGS_CHECK_SETTINGS_H_

#include <vector>

#include "fireflythread/settings/fwd.h"
#include "fireflythread/settings/settings_fault.h"

namespace fireflythread {

/// Checks the keys against each other: the membership, the times and the
/// protection of links beyond the loopback interface. Keys without a value are
/// left to the caller.
[[nodiscard]] auto CheckSettings(const DaemonSettings& settings)
    -> std::vector<SettingsFault>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_CHECK_SETTINGS_H_
