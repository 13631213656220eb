#ifndef FIREFLYTHREAD_JOBS_FWD_H_
#define FIREFLYTHREAD_JOBS_FWD_H_

namespace fireflythread {

struct CancelTombstone;
struct Configuration;
struct EndedBatch;
struct EndedJob;
struct EndedMove;
struct EndedTransaction;
struct RunCompletion;
struct EndedScan;
struct FinishedJob;
struct GivenUpRun;
struct OldestTask;
struct PaceCommand;
struct PollCommand;
struct JobProgress;
struct JobRequest;
struct JobStep;
struct MovedJob;
struct Queue;
struct QueueAssignment;
struct QueueAssignments;
struct QueueTerms;
struct ReleasedRuns;
struct RecordBatch;
struct RunningRun;
struct ShardJob;
struct ShardState;
struct ShardWorker;
struct StartCommand;
struct StopCommand;
struct StoredTombstone;
struct Organisation;
struct OrphanedCancel;
struct TaskName;
struct TaskState;
struct WorkerReport;
struct WorkerView;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_FWD_H_
