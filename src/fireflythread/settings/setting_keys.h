#ifndef FIREFLYTHREAD_SETTINGS_SETTING_KEYS_H_
#define FIREFLYTHREAD_SETTINGS_SETTING_KEYS_H_

#include <span>

#include "fireflythread/settings/setting_key.h"

namespace fireflythread {

/// Every key that a settings file may have, except the member lines of
/// [peers], whose keys are entry ids. docs/settings.md lists the same keys.
[[nodiscard]] auto SettingKeys() -> std::span<const SettingKey>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_SETTING_KEYS_H_
