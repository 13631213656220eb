#ifndef FIREFLYTHREAD_JOBS_FWD_H_
#define FIREFLYTHREAD_JOBS_FWD_H_

namespace fireflythread {

struct Configuration;
struct EndedRun;
struct HoldCommand;
struct JobProgress;
struct JobRequest;
struct JobStep;
struct Queue;
struct QueueHome;
struct QueueHomes;
struct RecordBatch;
struct RunningRun;
struct ShardJob;
struct ShardState;
struct ShardWorker;
struct StartCommand;
struct StopCommand;
struct TaskName;
struct TaskState;
struct WorkerReport;
struct WorkerView;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_FWD_H_
