#include "fireflythread/fleet/drain_tracker.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>

#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

using std::chrono::seconds;

const VmId kVm("worker-01");
const EntryId kFirst("entry-1");
const EntryId kSecond("entry-2");
const EntryId kThird("entry-3");

struct Cell {
  FleetView fleet;
  std::map<EntryId, MemberState> members;
  DrainTracker tracker;
  TimePoint now{seconds(1000)};

  Cell() {
    this->fleet.version = 10;
    VmRecord& record = this->fleet.vms[kVm];
    record.id = kVm;
    record.state = VmState::kDraining;
    record.generation = 4;
    for (const EntryId& entry : {kFirst, kSecond, kThird}) {
      this->members[entry] = {1, this->now, 10};
    }
    this->Update();
  }

  auto Update() -> void {
    UpdateDrains(this->tracker, this->fleet, this->members,
                 this->members.size(), this->now);
  }

  auto Acknowledge(const EntryId& entry, DrainAcknowledgement ack) -> void {
    NoteDrainAcknowledgement(this->tracker, entry, kVm, ack);
  }

  [[nodiscard]] auto Drained() const -> bool {
    return IsDrained(this->tracker, this->fleet.vms.at(kVm), this->members,
                     this->now);
  }
};

}  // namespace

// Guards against moving or rebooting a VM while an entry still sends to it.
TEST_CASE("a drain needs every member's acknowledgement of the generation") {
  Cell cell;
  cell.Acknowledge(kFirst, {1, 4});
  cell.Acknowledge(kSecond, {1, 4});
  CHECK_FALSE(cell.Drained());
  cell.Acknowledge(kThird, {1, 3});
  CHECK_FALSE(cell.Drained());
  cell.Acknowledge(kThird, {1, 4});
  CHECK(cell.Drained());
}

// Guards against an acknowledgement of a dead process standing for its
// successor, which may hold requests of its own.
TEST_CASE("a new incarnation replaces its predecessor and acknowledges anew") {
  Cell cell;
  cell.Acknowledge(kFirst, {1, 4});
  cell.Acknowledge(kSecond, {1, 4});
  cell.Acknowledge(kThird, {1, 4});
  cell.members[kThird].incarnation = 2;
  CHECK_FALSE(cell.Drained());
  cell.Acknowledge(kThird, {2, 4});
  CHECK(cell.Drained());
}

// Guards against waiting forever for a dead entry, and against not waiting for
// its requests in flight.
TEST_CASE("a silent member is gone after freshness limit and longest request") {
  Cell cell;
  cell.Acknowledge(kFirst, {1, 4});
  cell.Acknowledge(kSecond, {1, 4});
  cell.now += seconds(31);
  CHECK_FALSE(cell.Drained());
  cell.now += seconds(1);
  CHECK(cell.Drained());
}

// Guards against counting a cut-off majority as gone: its members confirm an
// older fleet version to each other and go on sending.
TEST_CASE("silent members that form a majority are never gone") {
  Cell cell;
  cell.tracker = {};
  cell.members[kSecond].fleet_version = 9;
  cell.members[kThird].fleet_version = 9;
  cell.Update();
  cell.Acknowledge(kFirst, {1, 4});
  cell.now += seconds(3600);
  cell.Update();
  CHECK_FALSE(cell.Drained());
  cell.members[kFirst].last_heard = cell.now;
  cell.members[kSecond] = {1, cell.now, 10};
  cell.Update();
  cell.Acknowledge(kSecond, {1, 4});
  CHECK_FALSE(cell.Drained());
  cell.now += seconds(32);
  CHECK(cell.Drained());
}

// Guards against counting reports of different moments: the member that
// reported first may have restarted since and recovered an older version, which
// it and the silent ones then confirm to each other.
TEST_CASE("reports of different moments do not make silent members gone") {
  Cell cell;
  const EntryId fourth("entry-4");
  const EntryId fifth("entry-5");
  cell.tracker = {};
  cell.members[kThird].fleet_version = 9;
  cell.members[fourth] = {1, cell.now, 9};
  cell.members[fifth] = {1, cell.now, 9};
  cell.members[kSecond] = {1, cell.now, 10};
  cell.Update();
  cell.now += seconds(10);
  cell.members[kFirst].last_heard = cell.now;
  cell.members[kThird] = {1, cell.now, 10};
  cell.Update();
  cell.Acknowledge(kFirst, {1, 4});
  cell.Acknowledge(kThird, {1, 4});
  cell.now += seconds(3600);
  cell.members[kFirst].last_heard = cell.now;
  cell.Update();
  CHECK_FALSE(cell.Drained());
}

// Guards against members that the controller does not know being left out of
// the majority that may confirm an older version.
TEST_CASE("unknown members count towards the majority of a drain") {
  Cell cell;
  cell.tracker = {};
  cell.members.erase(kThird);
  cell.members[kSecond].fleet_version = 9;
  UpdateDrains(cell.tracker, cell.fleet, cell.members, 5, cell.now);
  cell.Acknowledge(kFirst, {1, 4});
  cell.now += seconds(3600);
  CHECK_FALSE(cell.Drained());
}

// Guards against a drain that is complete because no member is known.
TEST_CASE("without members nothing is drained") {
  Cell cell;
  cell.members.clear();
  CHECK_FALSE(cell.Drained());
}

}  // namespace fireflythread
