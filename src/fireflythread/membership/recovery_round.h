#ifndef FIREFLYTHREAD_MEMBERSHIP_RECOVERY_ROUND_H_
#define FIREFLYTHREAD_MEMBERSHIP_RECOVERY_ROUND_H_

#include <cstdint>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/membership/snapshot_offer.h"

namespace fireflythread {

/// A recovering entry's question for whole control states and the offers.
struct RecoveryRound {
  std::uint64_t round = 0;
  std::map<EntryId, SnapshotOffer> offers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_RECOVERY_ROUND_H_
