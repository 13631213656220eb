#ifndef FIREFLYTHREAD_MEMBERSHIP_RECOVERED_STATE_H_
#define FIREFLYTHREAD_MEMBERSHIP_RECOVERED_STATE_H_

#include <vector>

#include "fireflythread/membership/head_versions.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

/// The highest control state that a majority offered. The rows of each table
/// come from one offer.
struct RecoveredState {
  HeadVersions versions;
  std::vector<Row> config_rows;
  std::vector<Row> fleet_rows;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_RECOVERED_STATE_H_
