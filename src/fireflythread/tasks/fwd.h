#ifndef FIREFLYTHREAD_TASKS_FWD_H_
#define FIREFLYTHREAD_TASKS_FWD_H_

namespace fireflythread {

struct TaskDecision;
struct TaskInputs;
struct TaskLimits;
struct TaskMemory;
struct TaskRecord;
struct TaskReport;
struct WorkerFailures;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_FWD_H_
