#ifndef FIREFLYTHREAD_MEMBERSHIP_FRESHNESS_H_
#define FIREFLYTHREAD_MEMBERSHIP_FRESHNESS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/time.h"
#include "fireflythread/membership/fwd.h"
#include "fireflythread/membership/head_kind.h"

namespace fireflythread {

/// Takes a read of a head row. `sent_at` is when the read was sent; `version`
/// is 0 if the row is absent. Reads may be answered in any order.
auto TakeStoreRead(Membership& membership,
                   HeadKind kind,
                   std::uint64_t version,
                   TimePoint sent_at) -> void;

/// Records that the entry now serves by this version; a lower one is ignored.
auto SetApplied(Membership& membership, HeadKind kind, std::uint64_t version)
    -> void;

/// Must be called before a transaction that writes a head row is sent. The
/// entry does not vouch for its versions until ResolveWrite().
auto BeginWrite(Membership& membership, std::string nonce) -> void;

/// Must be called once the result is known for certain and, if the write took
/// effect, its rows have been applied here.
auto ResolveWrite(Membership& membership, const std::string& nonce) -> void;

/// Dates the freshness to the latest question whose answers confirm the
/// applied versions. The functions above and TakePong() call it.
auto Reconfirm(Membership& membership) -> void;

/// The highest version of a head row known from reads and from peers; the
/// entry has to fetch rows when it is above the applied version.
[[nodiscard]] auto HighestKnown(const Membership& membership, HeadKind kind)
    -> std::uint64_t;

/// The moment up to which the entry may serve callers: the sending time of the
/// latest confirming question plus the limit. No value before the first
/// confirmation and while the entry recovers.
[[nodiscard]] auto ConfirmedUntil(const Membership& membership,
                                  Duration freshness_limit)
    -> std::optional<TimePoint>;

/// To be checked on a fresh reading of the boot clock before each send.
[[nodiscard]] auto MayServe(const Membership& membership,
                            Duration freshness_limit,
                            TimePoint now) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_FRESHNESS_H_
