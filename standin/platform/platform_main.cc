#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/common/http_listener.h"
#include "standin/common/main_loop.h"
#include "standin/common/vm_file.h"
#include "standin/platform/platform_service.h"

DEFINE_string(vms, "", "VM file; without one the VM list is empty");
DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port of the first listener; 0 takes a free port");
DEFINE_int32(control_port, 0, "port of the control listener");
DEFINE_int32(listeners, 1, "listeners of the API, each cut off by its index");
DEFINE_string(faults, "", "JSON of faults that are on from the start");

namespace {

constexpr std::chrono::milliseconds kTaskInterval{20};

}  // namespace

auto main(int argc, char** argv) -> int {
  namespace standin = fireflythread::standin;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<standin::VmEntry> vms;
  if (!FLAGS_vms.empty()) {
    vms = standin::ReadVmFile(FLAGS_vms);
  }
  standin::PlatformService service(std::move(vms));
  if (!FLAGS_faults.empty()) {
    service.SetFaults(nlohmann::json::parse(FLAGS_faults));
  }
  std::vector<std::unique_ptr<standin::HttpListener>> listeners;
  std::vector<int> ports;
  for (int index = 0; index < FLAGS_listeners; ++index) {
    listeners.push_back(std::make_unique<standin::HttpListener>(
        FLAGS_host, index == 0 ? FLAGS_port : 0,
        [&service,
         index](const std::shared_ptr<standin::HttpExchange>& exchange) {
          service.HandleApi(index, exchange);
        }));
    ports.push_back(listeners.back()->Port());
  }
  service.OnSilenceEstablished([&listeners] {
    for (const auto& listener : listeners) {
      listener->SilenceEstablished();
    }
  });
  const standin::HttpListener control(
      FLAGS_host, FLAGS_control_port,
      [&service](const std::shared_ptr<standin::HttpExchange>& exchange) {
        service.HandleControl(exchange);
      });
  standin::RunEvery(kTaskInterval, [&service] { service.Advance(); });
  const nlohmann::json line = {{"program", "standin-platform"},
                               {"ports", ports},
                               {"control_port", control.Port()}};
  fmt::print("{}\n", line.dump());
  std::fflush(stdout);
  standin::RunMainLoop();
  return 0;
}
