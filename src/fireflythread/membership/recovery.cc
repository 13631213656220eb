#include "fireflythread/membership/recovery.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "fireflythread/membership/freshness.h"
#include "fireflythread/membership/membership.h"

namespace fireflythread {

namespace {

constexpr std::string_view kConfigTableName = "config";
constexpr std::string_view kFleetTableName = "fleet";
constexpr std::string_view kHead = "head";

/// True if the rows hold the head row of the table with exactly this version.
/// A table without any row has version 0.
auto HoldsHead(const std::vector<Row>& rows,
               std::string_view table,
               std::uint64_t version) -> bool {
  const auto in_table = [&](const Row& row) { return row.table == table; };
  const auto is_head = [&](const Row& row) {
    return row.table == table && row.key == kHead;
  };
  const auto head = std::ranges::find_if(rows, is_head);
  if (head == rows.end()) {
    return version == 0 && std::ranges::none_of(rows, in_table);
  }
  return head->value == std::to_string(version);
}

auto IsWhole(const SnapshotOffer& offer) -> bool {
  return HoldsHead(offer.rows, kConfigTableName, offer.versions.config) &&
         HoldsHead(offer.rows, kFleetTableName, offer.versions.fleet);
}

auto RowsOf(const SnapshotOffer& offer, std::string_view table)
    -> std::vector<Row> {
  std::vector<Row> rows;
  std::ranges::copy_if(offer.rows, std::back_inserter(rows),
                       [&](const Row& row) { return row.table == table; });
  return rows;
}

auto HighestOffer(const RecoveryRound& round, HeadKind kind)
    -> const SnapshotOffer& {
  const auto highest = std::ranges::max_element(
      round.offers, {},
      [&](const auto& item) { return item.second.versions.Get(kind); });
  return highest->second;
}

}  // namespace

auto StartRecovery(Membership& membership) -> std::uint64_t {
  if (!membership.recovery) {
    membership.recovery.emplace().round = membership.next_round++;
  }
  return membership.recovery->round;
}

auto OfferSnapshot(const Membership& membership,
                   std::uint64_t round,
                   std::vector<Row> rows) -> SnapshotOffer {
  SnapshotOffer offer;
  offer.round = round;
  offer.recovering = membership.recovering;
  offer.unresolved_write = !membership.unresolved_writes.empty();
  if (!membership.recovering) {
    offer.versions = membership.applied;
    offer.rows = std::move(rows);
  }
  return offer;
}

auto TakeOffer(Membership& membership,
               const EntryId& sender,
               SnapshotOffer offer) -> bool {
  if (!membership.recovery || membership.recovery->round != offer.round ||
      sender == membership.self || !membership.members.contains(sender) ||
      offer.recovering || !IsWhole(offer)) {
    return false;
  }
  membership.recovery->offers.insert_or_assign(sender, std::move(offer));
  return true;
}

auto RecoveredByQuorum(const Membership& membership)
    -> std::optional<RecoveredState> {
  if (!membership.recovery) {
    return std::nullopt;
  }
  const RecoveryRound& round = *membership.recovery;
  const auto votes = static_cast<std::size_t>(std::ranges::count_if(
      round.offers,
      [](const auto& item) { return !item.second.unresolved_write; }));
  if (votes < MajorityOf(membership)) {
    return std::nullopt;
  }
  const SnapshotOffer& config = HighestOffer(round, HeadKind::kConfig);
  const SnapshotOffer& fleet = HighestOffer(round, HeadKind::kFleet);
  return RecoveredState{.versions = {.config = config.versions.config,
                                     .fleet = fleet.versions.fleet},
                        .config_rows = RowsOf(config, kConfigTableName),
                        .fleet_rows = RowsOf(fleet, kFleetTableName)};
}

auto FinishRecovery(Membership& membership, const HeadVersions& applied)
    -> void {
  membership.recovering = false;
  membership.recovery.reset();
  SetApplied(membership, HeadKind::kConfig, applied.config);
  SetApplied(membership, HeadKind::kFleet, applied.fleet);
}

}  // namespace fireflythread
