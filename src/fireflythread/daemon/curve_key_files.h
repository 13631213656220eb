#ifndef FIREFLYTHREAD_DAEMON_CURVE_KEY_FILES_H_
#define FIREFLYTHREAD_DAEMON_CURVE_KEY_FILES_H_

#include <optional>
#include <string>
#include <variant>

#include "fireflythread/peer/curve_keys.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

/// Reads the CURVE keys that the settings name. No keys when none are set; the
/// reason when a file cannot be read, is open to others, or is malformed. The
/// secret key file holds 40 characters of Z85; the member key file one line
/// `ENTRY = PUBLIC KEY` for each member.
[[nodiscard]] auto LoadCurveKeys(const DaemonSettings& settings)
    -> std::variant<std::optional<CurveKeys>, std::string>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_CURVE_KEY_FILES_H_
