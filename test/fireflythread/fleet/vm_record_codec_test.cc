#include "fireflythread/fleet/vm_record_codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "fireflythread/fleet/vm_transitions.h"
#include "fireflythread/platform/row.h"
#include "test/fireflythread/fleet/seeded_check.h"

namespace fireflythread {
namespace {

auto SampleRecord() -> VmRecord {
  VmRecord record;
  record.id = VmId("worker-01");
  record.version = 7;
  record.pool = PoolName("counter-desk");
  record.generation = 3;
  return record;
}

}  // namespace

// Guards against a field that is lost on its way through the table, which would
// let a VM forget its pool or its wave.
TEST_CASE("a VM record survives its row") {
  CHECK(CheckSeeded(1, [](std::uint64_t generation, int cores,
                          const std::string& reason) {
    VmRecord record = SampleRecord();
    record.generation = generation;
    record.cores = std::abs(cores / 2);
    record.reason =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    record.wave = WaveId("w" + std::to_string(reason.size()));
    record.next_pool = PoolName("works-misc");
    record.maintained_at = WallTime(std::chrono::milliseconds(
        *rc::gen::inRange<std::int64_t>(0, 4102444800000)));
    record.state = *rc::gen::element(VmState::kServing, VmState::kDraining,
                                     VmState::kDrained, VmState::kRebooting,
                                     VmState::kVerifying, VmState::kFailed);
    const auto decoded =
        DecodeVmRecord({"fleet", "vm/worker-01", 7, EncodeVmRecord(record)});
    RC_ASSERT(std::holds_alternative<VmRecord>(decoded));
    RC_ASSERT(std::get<VmRecord>(decoded) == record);
  }));
}

// Guards against a crash or a made-up record when a row is damaged.
TEST_CASE("malformed VM rows are errors") {
  const std::string value = GENERATE(
      "", "[]", "{}", "null", R"({"pool":3,"state":"serving","generation":1})",
      R"({"pool":"a","state":"asleep","generation":1})",
      R"({"pool":"a","state":"serving","generation":-1})",
      R"({"pool":"a","state":"serving","generation":1.5})",
      R"({"pool":"","state":"serving","generation":1})",
      R"({"pool":"a","state":"serving","generation":1,"cores":99999999999})");
  CHECK(std::holds_alternative<RowError>(
      DecodeVmRecord({"fleet", "vm/worker-01", 1, value})));
}

// Guards against a row under a foreign key becoming a VM without a name.
TEST_CASE("a VM row needs its key") {
  const std::string value = EncodeVmRecord(SampleRecord());
  CHECK(std::holds_alternative<RowError>(
      DecodeVmRecord({"fleet", "vm/", 1, value})));
  CHECK(std::holds_alternative<RowError>(
      DecodeVmRecord({"fleet", "head", 1, value})));
}

// Guards against any truncation of a good row being read as something else.
TEST_CASE("a truncated VM row is an error") {
  const std::string value = EncodeVmRecord(SampleRecord());
  for (std::size_t length = 0; length < value.size(); ++length) {
    CHECK(std::holds_alternative<RowError>(
        DecodeVmRecord({"fleet", "vm/worker-01", 1, value.substr(0, length)})));
  }
}

// Guards against a pool change or a reboot without an acknowledged drain.
TEST_CASE("a VM changes pool only from drained to serving") {
  VmRecord from = SampleRecord();
  from.next_pool = PoolName("works-misc");
  VmRecord to = from;
  to.pool = from.next_pool;
  to.generation = from.generation + 1;
  CHECK_FALSE(IsAllowedChange(from, to));
  from.state = VmState::kDrained;
  CHECK(IsAllowedChange(from, to));
  to.pool = PoolName("other");
  CHECK_FALSE(IsAllowedChange(from, to));
  CHECK_FALSE(IsAllowedTransition(VmState::kServing, VmState::kRebooting));
  CHECK_FALSE(IsAllowedTransition(VmState::kDraining, VmState::kRebooting));
}

}  // namespace fireflythread
