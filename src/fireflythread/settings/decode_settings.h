#ifndef FIREFLYTHREAD_SETTINGS_DECODE_SETTINGS_H_
#define FIREFLYTHREAD_SETTINGS_DECODE_SETTINGS_H_

#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "fireflythread/settings/daemon_settings.h"
#include "fireflythread/settings/raw_setting.h"
#include "fireflythread/settings/settings_fault.h"

namespace fireflythread {

using SettingsResult = std::variant<DaemonSettings, std::vector<SettingsFault>>;

/// Checks every line and the settings as a whole. Gives all faults, never only
/// the first. `file` is the name reported in them.
[[nodiscard]] auto DecodeSettings(std::string_view file,
                                  std::span<const RawSetting> lines)
    -> SettingsResult;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_DECODE_SETTINGS_H_
