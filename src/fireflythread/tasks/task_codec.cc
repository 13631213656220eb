#include "fireflythread/tasks/task_codec.h"

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

#include "fireflythread/fleet/row_reader.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {
namespace {

constexpr std::array<std::string_view, 8> kStateNames = {
    "queued", "running",    "checkpointing", "done",
    "failed", "cancelling", "cancelled",     "never-runs"};

auto ReadState(internal::RowReader& reader) -> TaskState {
  const std::string name = reader.Text("state");
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == name) {
      return static_cast<TaskState>(i);
    }
  }
  reader.Fail("unknown state \"" + name + "\"");
  return TaskState::kFailed;
}

auto ReadLease(internal::RowReader& reader, TaskRecord& record) -> void {
  record.worker = VmId(reader.OptionalText("worker"));
  record.fence = reader.OptionalNumber<std::uint64_t>("fence");
  record.lease_ms = reader.OptionalNumber<std::int64_t>("lease_ms");
  record.checkpoint = reader.OptionalText("checkpoint");
  record.result = reader.OptionalText("result");
  record.reason = reader.OptionalText("reason");
  for (std::string& vm : reader.OptionalTexts("failed_on")) {
    record.failed_on.emplace_back(std::move(vm));
  }
}

}  // namespace

auto TaskStateName(TaskState state) -> std::string_view {
  return kStateNames.at(static_cast<std::size_t>(state));
}

auto IsFinal(TaskState state) -> bool {
  return state == TaskState::kDone || state == TaskState::kFailed ||
         state == TaskState::kCancelled || state == TaskState::kNeverRuns;
}

auto EncodeTaskRecord(const TaskRecord& record) -> std::string {
  nlohmann::json object = {{"service", record.service.value},
                           {"state", TaskStateName(record.state)},
                           {"cores", record.cores},
                           {"memory_mb", record.memory_mb},
                           {"body", record.body},
                           {"submitted_at_ms", record.submitted_at_ms},
                           {"worker", record.worker.value},
                           {"fence", record.fence},
                           {"lease_ms", record.lease_ms},
                           {"checkpoint", record.checkpoint},
                           {"result", record.result},
                           {"reason", record.reason}};
  nlohmann::json& failed_on = object["failed_on"] = nlohmann::json::array();
  for (const VmId& vm : record.failed_on) {
    failed_on.push_back(vm.value);
  }
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto DecodeTaskRecord(const Row& row) -> std::variant<TaskRecord, RowError> {
  internal::RowReader reader(row);
  TaskRecord record;
  record.id = TaskId(row.key);
  record.version = row.version;
  record.service = ServiceName(reader.Text("service"));
  record.state = ReadState(reader);
  record.cores = reader.OptionalNumber<int>("cores");
  record.memory_mb = reader.OptionalNumber<int>("memory_mb");
  record.body = reader.OptionalText("body");
  record.submitted_at_ms =
      reader.OptionalNumber<std::int64_t>("submitted_at_ms");
  ReadLease(reader, record);
  if (record.id.empty()) {
    reader.Fail("the key is empty");
  }
  if (reader.Error().has_value()) {
    return *reader.Error();
  }
  return record;
}

}  // namespace fireflythread
