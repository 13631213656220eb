#ifndef FIREFLYTHREAD_BASE_FWD_H_
#define FIREFLYTHREAD_BASE_FWD_H_

namespace fireflythread {

struct BootClock;
template <typename Tag>
struct Id;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_FWD_H_
