#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "standin/backend/backend_control.h"
#include "standin/backend/ledger.h"
#include "standin/backend/service_time.h"
#include "standin/backend/worker.h"
#include "standin/common/http_listener.h"
#include "standin/common/main_loop.h"
#include "standin/common/vm_file.h"

DEFINE_string(vms, "", "VM file with the address of each worker");
DEFINE_string(write_vms, "", "writes the VM file with the ports taken here");
DEFINE_string(host, "127.0.0.1", "address of the control listener");
DEFINE_int32(control_port,
             0,
             "port of the control listener; 0 takes a free one");
DEFINE_int32(slots, 8, "requests that run at once on one worker");
DEFINE_int32(connections, 60, "connections that one worker accepts");
DEFINE_double(counter_ms, 20, "median service time of counter requests");
DEFINE_double(deadline_ms, 60, "median service time of deadline requests");
DEFINE_double(batch_ms, 200, "median service time of batch requests");
DEFINE_double(sigma, 0.5, "spread of the service times; 0 makes them equal");
DEFINE_uint64(seed, 1, "seed of the service times");

auto main(int argc, char** argv) -> int {
  namespace standin = fireflythread::standin;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standin::Ledger ledger;
  const standin::ServiceTime times{
      .medians_ms = {{"counter", FLAGS_counter_ms},
                     {"deadline", FLAGS_deadline_ms},
                     {"batch", FLAGS_batch_ms}},
      .default_ms = FLAGS_counter_ms,
      .sigma = FLAGS_sigma};
  fireflythread::Random random(FLAGS_seed);
  standin::BackendControl::Workers workers;
  standin::BackendControl control(workers, ledger);
  const standin::HttpListener listener(
      FLAGS_host, FLAGS_control_port,
      [&control](const std::shared_ptr<standin::HttpExchange>& exchange) {
        control.Handle(exchange);
      });
  std::vector<standin::VmEntry> resolved;
  nlohmann::json ports = nlohmann::json::object();
  for (standin::VmEntry& vm : standin::ReadVmFile(FLAGS_vms)) {
    workers.push_back(std::make_unique<standin::Worker>(
        std::move(vm),
        standin::Worker::Limits{.slots = FLAGS_slots,
                                .connections = FLAGS_connections},
        ledger, times, random));
    resolved.push_back(workers.back()->Entry());
    resolved.back().address = workers.back()->Address();
    resolved.back().control = listener.Address();
    ports[resolved.back().id] = workers.back()->Address();
  }
  if (!FLAGS_write_vms.empty()) {
    standin::WriteVmFile(FLAGS_write_vms, resolved);
  }
  const nlohmann::json line = {{"program", "standin-backend"},
                               {"control_port", listener.Port()},
                               {"vms", ports}};
  fmt::print("{}\n", line.dump());
  std::fflush(stdout);
  standin::RunMainLoop();
  return 0;
}
