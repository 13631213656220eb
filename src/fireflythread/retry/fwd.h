#ifndef FIREFLYTHREAD_RETRY_FWD_H_
#define FIREFLYTHREAD_RETRY_FWD_H_

namespace fireflythread {

struct IdempotencyRecord;
struct RecordedAnswer;
struct RepeatWait;
struct RetryFacts;
class RetryBudget;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_FWD_H_
