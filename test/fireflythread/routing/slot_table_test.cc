#include "fireflythread/routing/slot_table.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fireflythread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kMaxRequestTime = seconds(30);
const std::map<VmId, int> kWorkers = {{VmId("vm-1"), 8}, {VmId("vm-2"), 8}};

auto Members() -> std::vector<EntryId> {
  return {EntryId("a"), EntryId("b"), EntryId("c"), EntryId("d")};
}

auto MakeTable(const std::string& self) -> SlotTable {
  SlotTable table{EntryId(self), Members(), kMaxRequestTime};
  table.SetWorkers(kWorkers);
  return table;
}

/// Acquires every free slot of all workers.
auto AcquireAll(SlotTable& table, TimePoint now) -> std::multiset<SlotLoan> {
  std::multiset<SlotLoan> taken;
  for (const auto& [vm, slots] : kWorkers) {
    while (const auto slot = table.Acquire(vm, now)) {
      taken.insert({vm, *slot});
    }
  }
  return taken;
}

}  // namespace

// Guards against a worker that gets more requests at once than it has slots,
// because two entries both consider themselves the owner of a slot.
TEST_CASE("every slot has exactly one owner") {
  std::multiset<SlotLoan> taken;
  for (const EntryId& member : Members()) {
    SlotTable table = MakeTable(member.value);
    CHECK(table.OwnSlots() == 4);
    taken.merge(AcquireAll(table, kStart));
  }
  CHECK(taken.size() == 16);
  CHECK(std::set<SlotLoan>(taken.begin(), taken.end()).size() == 16);
}

// Guards against a slot that lender and borrower use at the same time, also
// while the borrower's last request still runs after the loan has ended.
TEST_CASE("the owner of a lent slot uses it only when it is known to be free") {
  SlotTable lender = MakeTable("a");
  SlotTable borrower = MakeTable("b");
  const auto loans = lender.Lend(EntryId("b"), 3, 0, kStart, seconds(1));
  REQUIRE(loans.size() == 3);
  borrower.Borrow(EntryId("a"), loans, kStart + seconds(1));
  CHECK(lender.UsableSlots(kStart) == 1);
  CHECK(borrower.UsableSlots(kStart) == 7);
  CHECK(AcquireAll(borrower, kStart + milliseconds(999)).size() == 7);

  const TimePoint ended = kStart + seconds(1);
  CHECK(borrower.UsableSlots(ended) == 4);
  CHECK(borrower.TakeEndedLoans(ended).empty());
  CHECK(lender.UsableSlots(ended + kMaxRequestTime - milliseconds(1)) == 1);
  CHECK(lender.UsableSlots(ended + kMaxRequestTime) == 4);

  borrower.Release(loans[0].vm, loans[0].slot, ended);
  const auto returned = borrower.TakeEndedLoans(ended);
  REQUIRE(returned.size() == 1);
  CHECK(returned.at(EntryId("a")) == std::vector<SlotLoan>{loans[0]});
  lender.AcceptReturned(EntryId("b"), returned.at(EntryId("a")));
  CHECK(lender.UsableSlots(ended) == 2);
}

// Guards against an entry that renews or returns the loan of another entry, and
// against a loan by an entry that does not own the slot.
TEST_CASE("only the lender and the borrower change a loan") {
  SlotTable lender = MakeTable("a");
  SlotTable borrower = MakeTable("b");
  const auto loans = lender.Lend(EntryId("b"), 4, 0, kStart, seconds(1));
  lender.AcceptReturned(EntryId("c"), loans);
  CHECK(lender.UsableSlots(kStart) == 0);
  borrower.Borrow(EntryId("c"), loans, kStart + seconds(1));
  CHECK(borrower.UsableSlots(kStart) == 4);
  const auto renewed =
      lender.Lend(EntryId("b"), 2, 0, kStart + milliseconds(500), seconds(1));
  CHECK(renewed.size() == 2);
  CHECK(lender.Lend(EntryId("c"), 4, 0, kStart, seconds(1)).empty());
}

// Guards against sending on slots that requests of the entry's earlier
// incarnation may still occupy, and on a slot whose request has an unknown
// result and may still run.
TEST_CASE("own slots stay unusable while an earlier request may run") {
  SlotTable table = MakeTable("a");
  table.BlockOwnUntil(kStart + kMaxRequestTime);
  CHECK(table.UsableSlots(kStart) == 0);
  CHECK(table.Lend(EntryId("b"), 4, 0, kStart, seconds(1)).empty());
  table.BlockOwnUntil(TimePoint::min());
  const auto slot = table.Acquire(VmId("vm-1"), kStart);
  REQUIRE(slot.has_value());
  table.Release(VmId("vm-1"), *slot, kStart + seconds(5));
  CHECK(table.FreeSlots(VmId("vm-1"), kStart + seconds(4)) == 1);
  CHECK(table.FreeSlots(VmId("vm-1"), kStart + seconds(5)) == 2);
}

// Guards against a busy slot that counts as free after its worker has left the
// pool and rejoined it.
TEST_CASE("a worker that rejoins the pool keeps its busy slots") {
  SlotTable table = MakeTable("a");
  REQUIRE(table.Acquire(VmId("vm-1"), kStart).has_value());
  table.SetWorkers({{VmId("vm-2"), 8}});
  CHECK(table.FreeSlots(VmId("vm-1"), kStart) == 0);
  CHECK(table.TakeEndedLoans(kStart).empty());
  table.SetWorkers(kWorkers);
  CHECK(table.FreeSlots(VmId("vm-1"), kStart) == 1);
}

}  // namespace fireflythread
