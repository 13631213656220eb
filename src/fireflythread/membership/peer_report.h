#ifndef FIREFLYTHREAD_MEMBERSHIP_PEER_REPORT_H_
#define FIREFLYTHREAD_MEMBERSHIP_PEER_REPORT_H_

#include <cstdint>

#include "fireflythread/base/time.h"
#include "fireflythread/membership/head_versions.h"

namespace fireflythread {

/// What is known of one peer from its answers.
struct PeerReport {
  std::uint64_t incarnation = 0;
  /// The sending time of the latest question that it answered.
  TimePoint answered_question_of;
  /// The highest versions that this incarnation reported.
  HeadVersions versions;
  bool recovering = true;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_PEER_REPORT_H_
