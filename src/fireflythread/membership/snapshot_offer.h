#ifndef FIREFLYTHREAD_MEMBERSHIP_SNAPSHOT_OFFER_H_
#define FIREFLYTHREAD_MEMBERSHIP_SNAPSHOT_OFFER_H_

#include <cstdint>
#include <vector>

#include "fireflythread/membership/head_versions.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

/// A peer's whole control state, in answer to a recovering entry.
struct SnapshotOffer {
  /// Copied from the question.
  std::uint64_t round = 0;
  bool recovering = false;
  bool unresolved_write = false;
  HeadVersions versions;
  /// All rows of the `config` and the `fleet` table.
  std::vector<Row> rows;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_SNAPSHOT_OFFER_H_
