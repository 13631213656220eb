#ifndef FIREFLYTHREAD_CTL_OUTPUT_H_
#define FIREFLYTHREAD_CTL_OUTPUT_H_

#include <string>

namespace fireflythread::ctl {

/// What a verb writes: results and messages.
struct Output {
  std::string out;
  std::string err;
};

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_OUTPUT_H_
