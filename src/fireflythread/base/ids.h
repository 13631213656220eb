#ifndef FIREFLYTHREAD_BASE_IDS_H_
#define FIREFLYTHREAD_BASE_IDS_H_

#include "fireflythread/base/id.h"

namespace fireflythread {

using CellName = Id<struct CellTag>;
using EntryId = Id<struct EntryTag>;
using JobId = Id<struct JobTag>;
using OrganisationName = Id<struct OrganisationTag>;
using PoolName = Id<struct PoolTag>;
using ProfileName = Id<struct ProfileTag>;
using QueueId = Id<struct QueueIdTag>;
using QueueName = Id<struct QueueTag>;
using RackName = Id<struct RackTag>;
using ServiceName = Id<struct ServiceTag>;
using ShardName = Id<struct ShardTag>;
using TaskId = Id<struct TaskTag>;
using TeamName = Id<struct TeamTag>;
using VmId = Id<struct VmTag>;
using WaveId = Id<struct WaveTag>;
using WorkerId = Id<struct WorkerTag>;
using ZoneName = Id<struct ZoneTag>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_IDS_H_
