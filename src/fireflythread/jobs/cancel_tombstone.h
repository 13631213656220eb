#ifndef FIREFLYTHREAD_JOBS_CANCEL_TOMBSTONE_H_
#define FIREFLYTHREAD_JOBS_CANCEL_TOMBSTONE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// Member of a tombstone's row that the row of an ended job doesn't have.
inline constexpr const char* kTombstoneMember = "cancelled_by";

/// Says that callers cancelled a job that was not stored. It is a row in the
/// table of ended jobs, whose absence each submission requires, so a submission
/// that is still on its way does not store the job. It is no job: callers who
/// ask for its state are told that there is none.
struct CancelTombstone {
  /// Time of the last cancellation.
  WallTime cancelled_at;
  /// Organisations of the callers; an empty name stands for callers without
  /// one.
  std::set<OrganisationName> organisations;
  /// A caller cancelled the job while organisations were not checked.
  bool by_anybody = false;
};

/// A tombstone as read from its row.
struct StoredTombstone {
  CancelTombstone tombstone;
  std::uint64_t version = 0;
};

/// Returns whether a caller may read and cancel the jobs of an organisation.
/// Without a caller, organisations are not checked; a job without organisation
/// belongs to everybody.
[[nodiscard]] auto MayAccess(const std::optional<OrganisationName>& caller,
                             const OrganisationName& owner) -> bool;

/// Returns whether a job of an organisation, empty for none, was cancelled.
[[nodiscard]] auto IsCancelled(const CancelTombstone& tombstone,
                               const OrganisationName& owner) -> bool;

/// Returns whether the tombstone has room for a caller, or names it already.
/// The number of organisations is limited, as a row is.
[[nodiscard]] auto HasRoomFor(const CancelTombstone& tombstone,
                              const std::optional<OrganisationName>& caller)
    -> bool;

/// Returns the tombstone after a further cancellation.
[[nodiscard]] auto WithCancellation(
    CancelTombstone tombstone,
    const std::optional<OrganisationName>& caller,
    WallTime now) -> CancelTombstone;

/// Encodes the value of the row. Earlier versions of the program read it as a
/// cancelled job, so that they store no job either, and remove it in time.
[[nodiscard]] auto EncodeCancelTombstone(const CancelTombstone& tombstone)
    -> std::string;

/// Decodes the value of a row in the table of ended jobs. Returns no value for
/// a job and when the text is unreadable.
[[nodiscard]] auto DecodeCancelTombstone(std::string_view text)
    -> std::optional<CancelTombstone>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_CANCEL_TOMBSTONE_H_
