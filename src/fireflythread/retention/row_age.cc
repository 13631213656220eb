#include "fireflythread/retention/row_age.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <variant>

#include "fireflythread/control/wave_codec.h"
#include "fireflythread/control/wave_record.h"
#include "fireflythread/retention/retention_facts.h"
#include "fireflythread/retention/retention_limits.h"
#include "fireflythread/retry/idempotency_record.h"
#include "fireflythread/tasks/task_codec.h"
#include "fireflythread/tasks/task_record.h"

namespace fireflythread::internal {
namespace {

auto IsOlder(WallTime written, Duration limit, const RetentionFacts& facts)
    -> bool {
  return facts.wall_time - written > limit;
}

auto FromMilliseconds(std::int64_t milliseconds) -> WallTime {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

/// Whether the process that wrote the record has ended for certain.
auto IsWriterGone(const IdempotencyRecord& record, const RetentionFacts& facts)
    -> bool {
  const auto last = facts.incarnations.find(record.entry);
  return record.incarnation != 0 && last != facts.incarnations.end() &&
         (last->second != record.incarnation ||
          facts.stopped.contains(record.entry));
}

}  // namespace

auto OldRecord(const Row& row,
               const RetentionLimits& limits,
               const RetentionFacts& facts) -> ObjectsOfOld {
  const auto record = DecodeRecord(row.value);
  // Other cells' controllers remove the records that their entries wrote.
  if (!record || !facts.incarnations.contains(record->entry) ||
      !IsOlder(record->claimed_at, limits.records, facts) ||
      (record->state == RecordState::kClaimed &&
       !IsWriterGone(*record, facts))) {
    return std::nullopt;
  }
  std::vector<std::string> objects;
  if (record->answer && !record->answer->body_object.empty()) {
    objects.push_back(record->answer->body_object);
  }
  return objects;
}

auto OldHistory(const Row& row,
                const RetentionLimits& limits,
                const RetentionFacts& facts) -> ObjectsOfOld {
  const nlohmann::json edit = nlohmann::json::parse(row.value, nullptr, false);
  const auto at =
      edit.is_object() ? edit.find("at_ms") : nlohmann::json::const_iterator();
  if (!edit.is_object() || at == edit.end() || !at->is_number_integer() ||
      !IsOlder(FromMilliseconds(at->get<std::int64_t>()), limits.history,
               facts)) {
    return std::nullopt;
  }
  return std::vector<std::string>();
}

auto OldWave(const Row& row,
             const RetentionLimits& limits,
             const RetentionFacts& facts) -> ObjectsOfOld {
  const auto decoded = DecodeWaveRecord(row);
  const auto* wave = std::get_if<WaveRecord>(&decoded);
  if (wave == nullptr ||
      (wave->state != WaveState::kFinished &&
       wave->state != WaveState::kCancelled) ||
      !IsOlder(FromMilliseconds(wave->declared_at_ms), limits.ended, facts)) {
    return std::nullopt;
  }
  return std::vector<std::string>();
}

auto OldTask(const Row& row,
             const RetentionLimits& limits,
             const RetentionFacts& facts) -> ObjectsOfOld {
  const auto decoded = DecodeTaskRecord(row);
  const auto* task = std::get_if<TaskRecord>(&decoded);
  if (task == nullptr || !IsFinal(task->state) ||
      !IsOlder(FromMilliseconds(task->submitted_at_ms), limits.ended, facts)) {
    return std::nullopt;
  }
  std::vector<std::string> objects;
  for (const std::string& object : {task->checkpoint, task->result}) {
    if (!object.empty()) {
      objects.push_back(object);
    }
  }
  return objects;
}

}  // namespace fireflythread::internal
