#ifndef FIREFLYTHREAD_CONFIG_WINDOW_CODEC_H_
#define FIREFLYTHREAD_CONFIG_WINDOW_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "fireflythread/config/maintenance_window.h"

namespace fireflythread::internal {

class FieldReader;

/// Reads the field `windows`, a list of objects such as
/// {"begin": "22:00", "end": "04:00", "weekdays": [1, 2]}.
auto ReadWindows(FieldReader& reader, std::vector<MaintenanceWindow>& out)
    -> void;

/// The JSON list that ReadWindows() reads.
[[nodiscard]] auto EncodeWindows(const std::vector<MaintenanceWindow>& windows)
    -> nlohmann::json;

}  // namespace fireflythread::internal

#endif  // FIREFLYTHREAD_CONFIG_WINDOW_CODEC_H_
