#include "fireflythread/jobs/unresponsive_workers.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "fireflythread/jobs/lease_times.h"
#include "fireflythread/jobs/worker_lease.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

/// Period at which a row that names workers is stored again. A new owner may
/// hold their runs for longer than necessary by this time.
constexpr milliseconds kRefreshPeriod{1000};

/// Delay before a failed transaction is tried again.
constexpr milliseconds kRetryDelay{150};

/// Returns whether the row must name a worker: it has runs and does not answer,
/// or the former owner has named it and it has not answered yet.
auto IsUnresponsive(const ShardState& state, const ShardWorker& worker)
    -> bool {
  const bool inherited =
      !worker.clock && state.unresponsive_until.contains(worker.view.id);
  return !worker.tasks.empty() && (worker.failed_polls > 0 || inherited);
}

auto MakeRow(const ShardState& state, TimePoint now) -> UnresponsiveRow {
  UnresponsiveRow row;
  row.fence = state.fence;
  for (const auto& [id, worker] : state.workers) {
    if (IsUnresponsive(state, worker)) {
      row.workers.emplace(id, TimeUntilLeaseExpiry(state, worker, now));
    } else if (!worker.tasks.empty() && MayHoldLongLease(state, worker, now)) {
      row.restarted.emplace(id, TimeUntilLeaseExpiry(state, worker, now));
    }
  }
  for (const auto& [id, until] : state.released_until) {
    row.workers.emplace(id, milliseconds(0));
  }
  return row;
}

auto AreKeysOf(const std::set<WorkerId>& names, const LeaseTimes& times)
    -> bool {
  return std::equal(names.begin(), names.end(), times.begin(), times.end(),
                    [](const WorkerId& named, const auto& entry) -> bool {
                      return named == entry.first;
                    });
}

auto NamesSameWorkers(const UnresponsiveRecord& record,
                      const UnresponsiveRow& row) -> bool {
  return AreKeysOf(record.named, row.workers) &&
         AreKeysOf(record.restarted, row.restarted);
}

}  // namespace

auto EncodeUnresponsiveRow(const UnresponsiveRow& row) -> std::string {
  return Json{{"fence", row.fence},
              {"left_ms", EncodeLeaseTimes(row.workers)},
              {"restarted_ms", EncodeLeaseTimes(row.restarted)}}
      .dump();
}

auto DecodeUnresponsiveRow(const std::string& value) -> UnresponsiveRow {
  UnresponsiveRow row;
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) {
    return row;
  }
  const auto fence = json.find("fence");
  if (fence == json.end() || !fence->is_number_unsigned()) {
    return row;
  }
  row.fence = fence->get<std::uint64_t>();
  row.workers = DecodeLeaseTimes(json, "left_ms");
  row.restarted = DecodeLeaseTimes(json, "restarted_ms");
  return row;
}

auto ApplyUnresponsiveRow(ShardState& state,
                          const UnresponsiveRow& row,
                          std::uint64_t version,
                          std::uint64_t former_fence) -> void {
  UnresponsiveRecord& record = state.unresponsive_record;
  record.loaded = true;
  record.version = version;
  for (const auto& [worker, left] : row.workers) {
    record.named.insert(worker);
    if (row.fence != former_fence) {
      continue;
    }
    // What the former owner said at its end is later knowledge.
    state.unresponsive_until.emplace(worker, state.owned_since + left);
  }
  for (const auto& [worker, left] : row.restarted) {
    record.restarted.insert(worker);
    if (row.fence == former_fence) {
      state.restarted_until.emplace(worker, state.owned_since + left);
    }
  }
}

auto NextUnresponsiveRow(ShardState& state, TimePoint now)
    -> std::optional<UnresponsiveRow> {
  UnresponsiveRecord& record = state.unresponsive_record;
  if (!record.loaded || record.storing || now < record.next_attempt) {
    return std::nullopt;
  }
  UnresponsiveRow row = MakeRow(state, now);
  const bool current = NamesSameWorkers(record, row) &&
                       ((row.workers.empty() && row.restarted.empty()) ||
                        now < record.next_refresh);
  if (current) {
    return std::nullopt;
  }
  record.named_before = record.named;
  for (const auto& [worker, left] : row.workers) {
    record.named.insert(worker);
  }
  record.storing = true;
  record.next_refresh = now + kRefreshPeriod;
  return row;
}

auto ApplyRowStored(ShardState& state,
                    const UnresponsiveRow& row,
                    std::uint64_t version) -> void {
  UnresponsiveRecord& record = state.unresponsive_record;
  record.storing = false;
  record.version = version;
  record.named.clear();
  for (const auto& [worker, left] : row.workers) {
    record.named.insert(worker);
  }
  record.restarted.clear();
  for (const auto& [worker, left] : row.restarted) {
    record.restarted.insert(worker);
  }
}

auto ApplyRowNotStored(ShardState& state, TimePoint now) -> void {
  UnresponsiveRecord& record = state.unresponsive_record;
  record.storing = false;
  // The row may be stored all the same, so it is stored again.
  record.next_refresh = now;
  record.next_attempt = now + kRetryDelay;
}

auto ApplyRowRefused(ShardState& state, TimePoint now) -> void {
  UnresponsiveRecord& record = state.unresponsive_record;
  record.named = record.named_before;
  ApplyRowNotStored(state, now);
}

auto MayGetLease(const ShardState& state, const WorkerId& worker) -> bool {
  return !state.unresponsive_record.named.contains(worker);
}

}  // namespace fireflythread
