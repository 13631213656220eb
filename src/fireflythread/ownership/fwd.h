#ifndef FIREFLYTHREAD_OWNERSHIP_FWD_H_
#define FIREFLYTHREAD_OWNERSHIP_FWD_H_

namespace fireflythread {

struct EntryView;
struct OwnershipState;
struct ShardClaim;
struct ShardOwner;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_FWD_H_
