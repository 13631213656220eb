#ifndef FIREFLYTHREAD_DAEMON_DEMAND_REPORT_CODEC_H_
#define FIREFLYTHREAD_DAEMON_DEMAND_REPORT_CODEC_H_

#include "fireflythread/peer/generated/peer.pb.h"

namespace fireflythread {

struct DemandSnapshot;

/// The demand report that an entry sends to the controller: every service, and
/// the workers that the entry has ejected.
[[nodiscard]] auto EncodeDemandReport(const DemandSnapshot& demand)
    -> peer::Envelope;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_DEMAND_REPORT_CODEC_H_
