#ifndef FIREFLYTHREAD_DAEMON_WAVE_SELECTION_H_
#define FIREFLYTHREAD_DAEMON_WAVE_SELECTION_H_

#include "fireflythread/admin/wave_selector.h"
#include "fireflythread/control/wave_record.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// Turns an operator's selector into that of a wave row. Several zones, racks
/// or pools become the list of the VMs that are in them now.
[[nodiscard]] auto ToWaveSelector(const admin::WaveSelector& selector,
                                  const FleetView& fleet) -> WaveSelector;

/// The selector of a wave row as the API shows it.
[[nodiscard]] auto ToAdminSelector(const WaveSelector& selector)
    -> admin::WaveSelector;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_WAVE_SELECTION_H_
