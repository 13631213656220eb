#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "fireflythread/config/edit_result.h"
#include "fireflythread/lease/lease.h"
#include "fireflythread/lease/lease_settings.h"
#include "fireflythread/lease/lease_state.h"
#include "test/fireflythread/config/config_testing.h"

namespace fireflythread {

namespace {

/// Random text, or valid JSON of some row with bytes changed or cut.
auto RowValue() -> std::string {
  std::string value = *rc::gen::element<std::string>(
      R"({"headroom": 0.5, "windows": [{"begin": "22:00", "end": "04:00"}]})",
      R"({"pool": "desk", "profile": "steady", "default_deadline_ms": 9})",
      R"({"min_vms": 1, "max_vms": 10, "spare": false})",
      R"({"holder": "a", "incarnation": 1, "epoch": 2, "duration_ms": 3000})",
      "17", "-1", "1e999", "null", "[[[[");
  const auto changes = *rc::gen::inRange(0, 4);
  for (int change = 0; change < changes && !value.empty(); ++change) {
    const auto position = *rc::gen::inRange<std::size_t>(0, value.size());
    if (*rc::gen::arbitrary<bool>()) {
      value[position] = *rc::gen::arbitrary<char>();
    } else {
      value.resize(position);
    }
  }
  return *rc::gen::arbitrary<bool>() ? value
                                     : *rc::gen::arbitrary<std::string>();
}

auto RowKey() -> std::string {
  return *rc::gen::oneOf(rc::gen::element<std::string>(
                             "profile/steady", "service/orders", "pool/desk",
                             "team/cut", "profile/", "gadget/x", "/", ""),
                         rc::gen::arbitrary<std::string>());
}

}  // namespace

// Guards against a damaged row that stops an entry, is lost without a report,
// or keeps the well-formed rows of the same change from being applied.
TEST_CASE("malformed rows are reported and the others are applied") {
  CHECK(rc::check([] {
    const ConfigSnapshot base = testing::SmallSnapshot();
    ConfigChange change;
    change.rows = {{"config", "head", 40, "8"},
                   {"config", RowKey(), 40, RowValue()},
                   {"config", "profile/fresh", 40, "{}"}};
    const std::string key = change.rows[1].key;
    RC_PRE(key != "head" && key != "profile/fresh");
    const auto applied = std::get<ChangeApplied>(ApplyChange(base, change));
    RC_ASSERT(applied.snapshot.version == 8U);
    RC_ASSERT(applied.snapshot.profiles.contains(ProfileName("fresh")));
    const ConfigChange differs = ChangeBetween(base, applied.snapshot);
    // The head, the fresh profile and the random row unless it was reported.
    RC_ASSERT(differs.rows.size() == (applied.faults.empty() ? 3U : 2U));
  }));
}

// Guards against a damaged head row that stops an entry or lowers its version.
TEST_CASE("a malformed head row leaves the snapshot as it is") {
  CHECK(rc::check([] {
    const ConfigSnapshot base = testing::SmallSnapshot();
    ConfigChange change;
    change.whole = *rc::gen::arbitrary<bool>();
    change.rows = {{"config", "head", 40, RowValue()}};
    const ChangeResult result = ApplyChange(base, change);
    if (const auto* applied = std::get_if<ChangeApplied>(&result)) {
      RC_ASSERT(applied->snapshot.version >= base.version);
    }
  }));
}

// Guards against operators' input that stops an entry, and against planned
// edits that read back as a malformed row.
TEST_CASE("any edit is refused or leads to rows that read back") {
  CHECK(rc::check([](const std::string& who, const std::string& nonce) {
    const ConfigSnapshot base = testing::SmallSnapshot();
    ConfigEdit edit = testing::MakeEdit(
        *rc::gen::element(ConfigKind::kProfile, ConfigKind::kService,
                          ConfigKind::kPool, ConfigKind::kTeam),
        *rc::gen::element<std::string>("steady", "desk", "orders", "new",
                                       "Bad name"),
        RowValue(), *rc::gen::element<std::uint64_t>(0, 11, 12, 20));
    edit.who = who;
    edit.nonce = nonce;
    const EditPlan plan = PlanEdit(base, edit);
    const auto* planned = std::get_if<PlannedEdit>(&plan);
    if (planned == nullptr) {
      return;
    }
    ConfigChange change;
    for (const Write& write : planned->transaction.writes) {
      if (write.table == "config") {
        change.rows.push_back({write.table, write.key, 50, *write.value});
      }
    }
    RC_ASSERT(
        std::get<ChangeApplied>(ApplyChange(base, change)).faults.empty());
    const Row history{"history", HistoryKey(planned->version), 50,
                      *planned->transaction.writes[2].value};
    (void)ReadBackEdit(*planned, history, true);
  }));
}

// Guards against damaged lease rows that stop an entry or make it the
// controller without a committed acquisition.
TEST_CASE("malformed lease rows never make a controller") {
  CHECK(rc::check([] {
    LeaseState state;
    state.self = EntryId("a");
    state.incarnation = 1;
    const LeaseSettings settings;
    TimePoint now;
    for (int read = 0; read < 4; ++read) {
      now += std::chrono::seconds(*rc::gen::inRange(0, 5));
      const auto version = *rc::gen::inRange<std::uint64_t>(1, 4);
      (void)TakeLeaseRows(
          state, settings, Row{"lease", "controller", version, RowValue()},
          Row{"lease", "controller_epoch", 1, RowValue()}, now, now);
      (void)StepLease(state, settings, now);
      RC_ASSERT(!HoldsLease(state, now));
    }
  }));
}

}  // namespace fireflythread
