#ifndef FIREFLYTHREAD_QUOTA_FWD_H_
#define FIREFLYTHREAD_QUOTA_FWD_H_

namespace fireflythread {

struct OrganisationQuota;
struct OrganisationUsage;
struct QuotaAllocator;
struct QuotaGrant;
struct QuotaUsage;
struct ShardDemand;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_QUOTA_FWD_H_
