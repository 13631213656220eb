#include "fireflythread/tasks/task_codec.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <variant>

#include "fireflythread/platform/row.h"
#include "test/fireflythread/fleet/seeded_check.h"

namespace fireflythread {

// Guards against a task that runs twice or restarts from the beginning because
// its row lost the fencing token, the checkpoint or the failures.
TEST_CASE("a task record is decoded from its row unchanged") {
  CHECK(CheckSeeded(2, [](std::uint64_t fence, std::uint8_t state) {
    TaskRecord task;
    task.id = TaskId("t1");
    task.version = 5;
    task.service = ServiceName("plans");
    task.state = static_cast<TaskState>(state % 8);
    task.fence = fence;
    task.lease_ms = 10'000;
    task.worker = VmId("worker-1");
    task.checkpoint = "checkpoints/t1";
    task.body = "{\"seams\": 3}";
    task.failed_on = {VmId("worker-2"), VmId("worker-3")};
    const auto decoded =
        DecodeTaskRecord({"task", "t1", 5, EncodeTaskRecord(task)});
    RC_ASSERT(std::holds_alternative<TaskRecord>(decoded));
    RC_ASSERT(std::get<TaskRecord>(decoded) == task);
  }));
}

// Guards against a malformed row that stops the controller.
TEST_CASE("malformed task rows are errors") {
  for (const char* value :
       {"", "[]", R"({"service":"a"})", R"({"service":"a","state":"paused"})",
        R"({"service":"a","state":"queued","fence":-2})",
        R"({"service":"a","state":"queued","failed_on":"x"})"}) {
    CHECK(std::holds_alternative<RowError>(
        DecodeTaskRecord({"task", "t1", 1, value})));
  }
}

}  // namespace fireflythread
