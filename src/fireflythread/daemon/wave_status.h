#ifndef FIREFLYTHREAD_DAEMON_WAVE_STATUS_H_
#define FIREFLYTHREAD_DAEMON_WAVE_STATUS_H_

#include <optional>
#include <string>

#include "fireflythread/admin/wave_status.h"
#include "fireflythread/base/time.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/wave_record.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// Which budget keeps a VM back, in words.
[[nodiscard]] auto DescribeBlocked(const BlockedVm& blocked) -> std::string;

/// A wave as the API shows it, from its row, the fleet rows that name it and
/// the controller's report where there is one.
[[nodiscard]] auto BuildWaveStatus(
    const WaveRecord& wave,
    const FleetView& fleet,
    const std::optional<ControllerReport>& report,
    WallTime now) -> admin::WaveStatus;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_WAVE_STATUS_H_
