// Measures what the gateway costs: requests for each second of processor time
// of its main loop, against a bare libsoup pass-through in the same run, and
// the delay that it adds to a direct call.

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <glib.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/common/csv_file.h"
#include "bench/common/http_load.h"
#include "bench/common/null_platform.h"
#include "bench/common/pass_through.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/gateway/gateway.h"

DEFINE_string(csv, "", "file for the rows measure,case,baseline,result,...");
DEFINE_int32(requests, 20000, "requests for each round and program (1 to 1e6)");
DEFINE_int32(rounds, 5, "rounds, of which the median counts (1 to 100)");
DEFINE_int32(connections, 16, "callers at a time (1 to 28)");

namespace fireflythread {
namespace {

constexpr int kWorkers = 4;
constexpr double kRateBound = 0.8;
constexpr int kDelayRequests = 4000;

/// A server on a thread with its own main loop.
class LoopThread {
 public:
  /// `make` constructs the server on the thread and returns its port and what
  /// keeps it alive.
  using Server = std::pair<std::uint16_t, std::shared_ptr<void>>;

  explicit LoopThread(const std::function<Server()>& make)
      : context(g_main_context_new()),
        loop(g_main_loop_new(this->context, FALSE)) {
    std::promise<std::uint16_t> ready;
    auto ready_port = ready.get_future();
    this->thread = std::thread([this, &make, &ready] {
      g_main_context_push_thread_default(this->context);
      pthread_getcpuclockid(pthread_self(), &this->clock);
      Server server = make();
      ready.set_value(server.first);
      g_main_loop_run(this->loop);
      server.second.reset();
      while (g_main_context_iteration(this->context, FALSE) != FALSE) {
      }
      g_main_context_pop_thread_default(this->context);
    });
    this->port = ready_port.get();
  }

  ~LoopThread() {
    g_main_loop_quit(this->loop);
    this->thread.join();
    g_main_loop_unref(this->loop);
    g_main_context_unref(this->context);
  }

  LoopThread(const LoopThread&) = delete;
  auto operator=(const LoopThread&) -> LoopThread& = delete;

  [[nodiscard]] auto ProcessorSeconds() const -> double {
    timespec time{};
    clock_gettime(this->clock, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
  }

  std::uint16_t port = 0;

 private:
  GMainContext* context;
  GMainLoop* loop;
  clockid_t clock{};
  std::thread thread;
};

struct GatewayServer {
  explicit GatewayServer(const GatewaySettings& settings)
      : gateway(settings, this->platform, GatewayObserver{}) {}

  NullPlatform platform;
  Gateway gateway;
};

auto MakeGateway(std::uint16_t backend_port) -> LoopThread::Server {
  GatewaySettings settings;
  settings.self = EntryId("entry-1");
  settings.members = {settings.self};
  auto server = std::make_shared<GatewayServer>(settings);
  ConfigSnapshot config;
  config.version = 1;
  const PoolName pool("counter-desk");
  config.pools[pool].name = pool;
  config.services[ServiceName("orders")].pool = pool;
  FleetView fleet;
  fleet.version = 1;
  for (int i = 0; i < kWorkers; ++i) {
    VmRecord vm;
    vm.id = VmId(fmt::format("vm-{}", i));
    vm.pool = pool;
    vm.address = fmt::format("127.0.0.1:{}", backend_port);
    fleet.vms[vm.id] = vm;
  }
  server->gateway.ApplyControlState(
      std::make_shared<const ConfigSnapshot>(config),
      std::make_shared<const FleetView>(fleet));
  const StartResult started = server->gateway.Start();
  server->gateway.SetPredecessorGone();
  server->gateway.SetConfirmedUntil(TimePoint::max());
  return {std::get<BoundPort>(started).port, server};
}

auto MakePassThrough(std::uint16_t backend_port) -> LoopThread::Server {
  auto server = std::make_shared<PassThrough>(backend_port, kWorkers * 7);
  return {server->Port(), server};
}

auto Median(std::vector<double> values) -> double {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

const std::string kGatewayRequest =
    "GET /s/orders/cut/7 HTTP/1.1\r\nHost: entry\r\nAccept: */*\r\n"
    "Fireflythread-Urgency: counter\r\nFireflythread-Deadline-Ms: 5000\r\n"
    "\r\n";

/// Requests for each second of processor time in one round.
auto MeasureRate(const LoopThread& server) -> double {
  const double before = server.ProcessorSeconds();
  const auto times =
      SendLoad(server.port, kGatewayRequest, FLAGS_connections, FLAGS_requests);
  const double used = server.ProcessorSeconds() - before;
  if (times.size() + static_cast<std::size_t>(FLAGS_connections) <
      static_cast<std::size_t>(FLAGS_requests)) {
    fmt::print("only {} of {} requests were answered\n", times.size(),
               FLAGS_requests);
  }
  return static_cast<double>(times.size()) / used;
}

struct Delay {
  double median_us = 0;
  double p99_us = 0;
};

auto MeasureDelay(std::uint16_t port) -> Delay {
  const auto times = SendLoad(port, kGatewayRequest, 1, kDelayRequests);
  const auto at = [&](std::size_t percent) {
    return std::chrono::duration<double, std::micro>(
               times.at(times.size() * percent / 100))
        .count();
  };
  return {at(50), at(99)};
}

auto Run() -> void {
  CsvFile csv(FLAGS_csv);
  const FixedServer backend;
  const LoopThread gateway([&] { return MakeGateway(backend.Port()); });
  const LoopThread baseline([&] { return MakePassThrough(backend.Port()); });
  std::vector<double> gateway_rates;
  std::vector<double> baseline_rates;
  std::vector<double> ratios;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    baseline_rates.push_back(MeasureRate(baseline));
    gateway_rates.push_back(MeasureRate(gateway));
    ratios.push_back(gateway_rates.back() / baseline_rates.back());
  }
  const double ratio = Median(ratios);
  fmt::print(
      "requests per second of one core: pass-through {:.0f}, gateway "
      "{:.0f}, ratio {:.2f} (bound {})\n",
      Median(baseline_rates), Median(gateway_rates), ratio, kRateBound);
  csv.Add("gateway_requests_per_core_second", "GET", Median(baseline_rates),
          Median(gateway_rates), kRateBound, ratio);

  const Delay direct = MeasureDelay(backend.Port());
  const Delay passed = MeasureDelay(baseline.port);
  const Delay through = MeasureDelay(gateway.port);
  fmt::print(
      "delay in us, p50 and p99: direct {:.0f} {:.0f}, pass-through "
      "{:.0f} {:.0f}, gateway {:.0f} {:.0f}\n",
      direct.median_us, direct.p99_us, passed.median_us, passed.p99_us,
      through.median_us, through.p99_us);
  const auto add = [&](const char* name, double Delay::*value) {
    const double added_baseline = passed.*value - direct.*value;
    const double added = through.*value - direct.*value;
    csv.Add("gateway_added_delay_us", name, added_baseline, added,
            added_baseline, added / added_baseline);
  };
  add("p50", &Delay::median_us);
  add("p99", &Delay::p99_us);
}

}  // namespace
}  // namespace fireflythread

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  fireflythread::Run();
  return 0;
}
