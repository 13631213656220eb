#ifndef FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_DIFFERENCES_H_
#define FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_DIFFERENCES_H_

#include <functional>
#include <string>

#include "fireflythread/config_check/configuration_report.h"

namespace fireflythread {

/// Returns a short text by which a key is recognised and that does not reveal
/// it.
using KeyFingerprint = std::function<std::string(const std::string& key)>;

/// Adds what callers notice when `after` takes the place of `before`. Adds an
/// error if the version does not rise, as entries then ignore `after`. The
/// place of what was removed is the one in `before`, and the reason says so.
auto FindDifferences(const CheckedConfiguration& before,
                     const CheckedConfiguration& after,
                     const KeyFingerprint& fingerprint,
                     Findings& findings) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_DIFFERENCES_H_
