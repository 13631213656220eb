// What control costs: microseconds and bytes for fleet rows, controller steps,
// task steps and messages between entries, at several numbers of VMs, with the
// real core and codecs.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "bench/common/control_results.h"
#include "bench/common/control_sites.h"
#include "fireflythread/daemon/demand_report_codec.h"
#include "fireflythread/gateway/demand_snapshot.h"
#include "fireflythread/peer/generated/peer.pb.h"

DEFINE_string(csv, "", "file for the results as CSV");
DEFINE_int32(milliseconds, 300, "time for each figure");

namespace fireflythread::bench {
namespace {

/// A cell of the target size; the bounds are for one cell.
constexpr int kCellVms = 633;
/// Of the target size: 2.5% of a core and 20 KB a second for control.
constexpr double kCoreMicrosecondsPerSecond = 25'000;
constexpr double kBytesPerSecond = 20'000;
constexpr int kStepsPerSecond = 4;
constexpr int kReportsPerSecond = 1;

/// Mean microseconds of a call, repeated for the time given by the flag.
template <typename Function>
auto TimeOf(Function&& function) -> double {
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  const auto end = start + std::chrono::milliseconds(FLAGS_milliseconds);
  int calls = 0;
  auto now = start;
  do {
    function();
    ++calls;
    now = Clock::now();
  } while (now < end);
  return std::chrono::duration<double, std::micro>(now - start).count() / calls;
}

struct Table {
  std::vector<ControlResult> results;

  auto Add(const std::string& measure, int vms, double result, double bound = 0)
      -> void {
    this->results.push_back({measure, fmt::format("{} vms", vms), 0, result,
                             vms <= kCellVms ? bound : 0});
  }
};

auto MeasureRows(const VirtualCell& cell, int vms, Table& table) -> void {
  std::vector<Row> rows;
  std::size_t bytes = 0;
  for (const auto& [id, record] : cell.fleet.vms) {
    rows.push_back(
        {"fleet", FleetKey(id), record.version, EncodeVmRecord(record)});
    bytes += rows.back().key.size() + rows.back().value.size();
  }
  const double encode = TimeOf([&cell] {
    std::size_t size = 0;
    for (const auto& [id, record] : cell.fleet.vms) {
      size += EncodeVmRecord(record).size();
    }
    return size;
  });
  const double apply = TimeOf([&rows] {
    FleetView view;
    std::vector<RowError> errors;
    return ApplyFleetChanges(view, {0, 1, rows, {}}, errors);
  });
  table.Add("row-bytes", vms, static_cast<double>(bytes) / vms);
  table.Add("row-encode-us", vms, encode / vms);
  table.Add("row-apply-us", vms, apply / vms);
  table.Add("load-fleet-us", vms, apply);
}

/// Steps of a cell at rest, and with a wave over all its VMs.
auto MeasureSteps(VirtualCell cell, int vms, Table& table) -> void {
  constexpr double kBound = kCoreMicrosecondsPerSecond / kStepsPerSecond;
  const ControllerInputs resting = MakeInputs(cell);
  table.Add("step-rest-us", vms, TimeOf([&] {
              ControllerMemory memory = cell.memory;
              return RunControllerStep(resting, memory);
            }),
            kBound);
  DeclareWave(cell, "all", {});
  RunFor(cell, std::chrono::seconds(10));
  const std::size_t before = cell.bytes_written;
  RunFor(cell, std::chrono::seconds(60));
  table.Add("wave-bytes-per-s", vms,
            static_cast<double>(cell.bytes_written - before) / 60);
  const ControllerInputs running = MakeInputs(cell);
  table.Add("step-wave-us", vms, TimeOf([&] {
              ControllerMemory memory = cell.memory;
              return RunControllerStep(running, memory);
            }),
            kBound);
}

auto MakeReport(const VirtualCell& cell) -> peer::Envelope {
  DemandSnapshot demand;
  for (const auto& [name, service] : cell.demand) {
    demand.services.push_back({name, service.arrivals_per_second,
                               static_cast<int>(service.in_flight), 0, 0,
                               service.mean_service_seconds, 1});
  }
  for (const auto& [id, record] : cell.fleet.vms) {
    demand.workers.push_back({id, 3, false, ""});
  }
  peer::Envelope envelope = EncodeDemandReport(demand);
  envelope.set_sender("entry-1");
  envelope.set_incarnation(1);
  return envelope;
}

/// A push of the rows that one step changes at most.
auto MakePush(const VirtualCell& cell) -> peer::Envelope {
  constexpr int kRows = 128;
  peer::Envelope envelope;
  peer::StatePush& push = *envelope.mutable_state_push();
  push.set_table("fleet");
  for (const auto& [id, record] : cell.fleet.vms) {
    if (push.rows_size() == kRows) {
      break;
    }
    peer::StateRow& row = *push.add_rows();
    row.set_table("fleet");
    row.set_key(FleetKey(id));
    row.set_version(record.version);
    row.set_value(EncodeVmRecord(record));
  }
  return envelope;
}

auto MeasureMessage(const std::string& name,
                    int vms,
                    const peer::Envelope& envelope,
                    double bytes_bound,
                    Table& table) -> void {
  const std::string bytes = envelope.SerializeAsString();
  table.Add(name + "-bytes", vms, static_cast<double>(bytes.size()),
            bytes_bound);
  table.Add(name + "-encode-us", vms,
            TimeOf([&envelope] { return envelope.SerializeAsString(); }));
  table.Add(name + "-decode-us", vms, TimeOf([&bytes] {
              peer::Envelope read;
              return read.ParseFromString(bytes);
            }));
}

auto MeasureSize(int vms, Table& table) -> void {
  Site site = SplitSite();
  site.vms = vms;
  // The target's 41 pools, or the 4 and a spare pool of a small deployment.
  site.pools = vms <= 50 ? 4 : 40;
  site.pool_vms = vms * 4 / 5 / site.pools;
  VirtualCell cell = MakeSite(site, site.pool_vms * 4);
  RunFor(cell, std::chrono::seconds(2));
  MeasureRows(cell, vms, table);
  MeasureMessage("report", vms, MakeReport(cell),
                 kBytesPerSecond / kReportsPerSecond, table);
  MeasureMessage("push", vms, MakePush(cell), 0, table);
  MeasureSteps(std::move(cell), vms, table);
}

}  // namespace
}  // namespace fireflythread::bench

auto main(int argc, char** argv) -> int {
  namespace bench = fireflythread::bench;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bench::Table table;
  for (const int vms : {50, 500, 633, 5000, 19000}) {
    bench::MeasureSize(vms, table);
  }
  bench::PrintResults(table.results);
  return bench::WriteCsv(table.results, FLAGS_csv) ? 0 : 1;
}
