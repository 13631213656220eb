#ifndef FIREFLYTHREAD_RETENTION_FWD_H_
#define FIREFLYTHREAD_RETENTION_FWD_H_

namespace fireflythread {

struct Removal;
struct RetentionFacts;
struct RetentionLimits;
struct RetentionScan;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETENTION_FWD_H_
