#ifndef FIREFLYTHREAD_OWNERSHIP_FWD_H_
#define FIREFLYTHREAD_OWNERSHIP_FWD_H_

namespace fireflythread {

struct EndedOwnership;
struct EntryCapacity;
struct EntryLoad;
struct EntryView;
struct FormerOwner;
struct Handover;
struct HandoverPlan;
struct OwnershipState;
struct Placement;
struct ShardClaim;
struct ShardOwner;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_FWD_H_
