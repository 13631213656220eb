#ifndef FIREFLYTHREAD_CTL_OPTIONS_H_
#define FIREFLYTHREAD_CTL_OPTIONS_H_

#include <chrono>
#include <string>

#include "fireflythread/base/time.h"

namespace fireflythread::ctl {

/// The flags that verbs look at.
struct Options {
  bool json = false;
  bool wait = false;
  bool dry_run = false;
  Duration timeout = std::chrono::seconds(30);
  /// Names separated by commas.
  std::string zone;
  std::string rack;
  std::string pool;
  std::string vm;
  std::string state;
  std::string reason;
  std::string limit;
  std::string before;
};

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_OPTIONS_H_
