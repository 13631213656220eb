// Compares ways to bring an accepted configuration to every entry: each entry
// polls the store; one relay a zone polls and pushes to its zone; the entry
// that committed pushes to all and the others poll as a fallback.
//
// Everything is computed on virtual time from a fixed seed. Latencies are those
// of the deployments: 0.5 ms between zones inside a region; 40 ms between
// regions is an assumption for the target size.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "fireflythread/base/random.h"

DEFINE_string(csv, "", "file for the rows measure,case,baseline,result,...");
DEFINE_uint64(seed, 20261204, "seed of the random source");
DEFINE_int32(changes, 2000, "configuration changes for each case (1 to 1e6)");

namespace fireflythread {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

constexpr Millis kPollPeriod{500};
constexpr Millis kStoreRead{4};
constexpr Millis kSameRegionHop{0.5};
constexpr Millis kOtherRegionHop{40};
// A relay that is silent for this long is passed over and the entries of its
// zone poll the store themselves.
constexpr Millis kRelayTimeout{1000};
constexpr double kMessageLoss = 0.01;
constexpr double kRelayDown = 0.02;

struct Deployment {
  std::string name;
  int entries;
  int zones;
  int regions;
  Millis bound;
};

struct Spread {
  double reads_per_second = 0;
  double messages_per_change = 0;
  Millis median{0};
  Millis p99{0};
};

enum class Way { kPollEach, kZoneRelay, kPushAndPoll };

auto ZoneOf(const Deployment& deployment, int entry) -> int {
  return entry % deployment.zones;
}

auto RegionOf(const Deployment& deployment, int entry) -> int {
  return ZoneOf(deployment, entry) % deployment.regions;
}

auto HopTo(const Deployment& deployment, int entry) -> Millis {
  return RegionOf(deployment, entry) == 0 ? kSameRegionHop : kOtherRegionHop;
}

/// Time until a poller that is at a random point of its period has read the
/// change.
auto PollDelay(const Deployment& deployment, int entry, Random& random)
    -> Millis {
  std::uniform_real_distribution<double> phase(0, kPollPeriod.count());
  return Millis(phase(random)) + kStoreRead + 2 * HopTo(deployment, entry);
}

auto IsRelay(const Deployment& deployment, int entry) -> bool {
  return entry < deployment.zones;
}

auto RelayDelays(const Deployment& deployment, Random& random)
    -> std::vector<Millis> {
  std::bernoulli_distribution lost(kMessageLoss);
  std::bernoulli_distribution down(kRelayDown);
  std::vector<Millis> relay(static_cast<std::size_t>(deployment.zones));
  std::vector<bool> relay_down(relay.size());
  std::vector<Millis> delays;
  delays.reserve(static_cast<std::size_t>(deployment.entries));
  for (int entry = 0; entry < deployment.entries; ++entry) {
    const auto zone = static_cast<std::size_t>(ZoneOf(deployment, entry));
    const Millis own_poll = PollDelay(deployment, entry, random);
    if (IsRelay(deployment, entry)) {
      relay[zone] = own_poll;
      relay_down[zone] = down(random);
      // A relay that is down does not serve; it counts once it is back.
      delays.push_back(own_poll);
    } else if (relay_down[zone]) {
      delays.push_back(kRelayTimeout + own_poll);
    } else if (lost(random)) {
      // The next push of the relay, one period later, carries the change too.
      delays.push_back(relay[zone] + kPollPeriod + kSameRegionHop);
    } else {
      delays.push_back(relay[zone] + kSameRegionHop);
    }
  }
  return delays;
}

auto PushDelays(const Deployment& deployment, Random& random)
    -> std::vector<Millis> {
  std::bernoulli_distribution lost(kMessageLoss);
  std::vector<Millis> delays;
  delays.reserve(static_cast<std::size_t>(deployment.entries));
  for (int entry = 0; entry < deployment.entries; ++entry) {
    const Millis own_poll = PollDelay(deployment, entry, random);
    const bool pushed = !lost(random);
    delays.push_back(pushed ? std::min(HopTo(deployment, entry), own_poll)
                            : own_poll);
  }
  return delays;
}

auto PollDelays(const Deployment& deployment, Random& random)
    -> std::vector<Millis> {
  std::vector<Millis> delays;
  delays.reserve(static_cast<std::size_t>(deployment.entries));
  for (int entry = 0; entry < deployment.entries; ++entry) {
    delays.push_back(PollDelay(deployment, entry, random));
  }
  return delays;
}

auto DelaysOf(Way way, const Deployment& deployment, Random& random)
    -> std::vector<Millis> {
  switch (way) {
    case Way::kPollEach:
      return PollDelays(deployment, random);
    case Way::kZoneRelay:
      return RelayDelays(deployment, random);
    case Way::kPushAndPoll:
      return PushDelays(deployment, random);
  }
  return {};
}

auto Measure(Way way, const Deployment& deployment, Random& random) -> Spread {
  std::vector<Millis> everywhere;
  everywhere.reserve(static_cast<std::size_t>(FLAGS_changes));
  for (int change = 0; change < FLAGS_changes; ++change) {
    const std::vector<Millis> delays = DelaysOf(way, deployment, random);
    everywhere.push_back(*std::max_element(delays.begin(), delays.end()));
  }
  std::sort(everywhere.begin(), everywhere.end());
  const double pollers =
      way == Way::kZoneRelay ? deployment.zones : deployment.entries;
  Spread spread;
  // Each poll reads the configuration and the fleet table.
  spread.reads_per_second = pollers * 2 * 1000.0 / kPollPeriod.count();
  if (way == Way::kZoneRelay) {
    spread.messages_per_change = deployment.entries - deployment.zones;
  } else if (way == Way::kPushAndPoll) {
    spread.messages_per_change = deployment.entries - 1;
  }
  spread.median = everywhere[everywhere.size() / 2];
  spread.p99 = everywhere[everywhere.size() * 99 / 100];
  return spread;
}

auto NameOf(Way way) -> const char* {
  switch (way) {
    case Way::kPollEach:
      return "poll-each";
    case Way::kZoneRelay:
      return "zone-relay";
    case Way::kPushAndPoll:
      return "push-and-poll";
  }
  return "";
}

auto Run() -> void {
  const std::vector<Deployment> deployments = {
      {"today", 8, 3, 1, Millis(2000)},
      {"target", 240, 30, 11, Millis(19000)},
  };
  std::ofstream csv;
  if (!FLAGS_csv.empty()) {
    csv.open(FLAGS_csv);
    csv << "measure,case,baseline,result,bound,ratio\n";
  }
  fmt::print("{:<8} {:<14} {:>9} {:>12} {:>9} {:>9}\n", "size", "way",
             "reads/s", "msgs/change", "p50 ms", "p99 ms");
  for (const Deployment& deployment : deployments) {
    Spread baseline;
    for (const Way way : {Way::kPollEach, Way::kZoneRelay, Way::kPushAndPoll}) {
      Random random(FLAGS_seed);
      const Spread spread = Measure(way, deployment, random);
      if (way == Way::kPollEach) {
        baseline = spread;
      }
      fmt::print("{:<8} {:<14} {:>9.0f} {:>12.0f} {:>9.1f} {:>9.1f}\n",
                 deployment.name, NameOf(way), spread.reads_per_second,
                 spread.messages_per_change, spread.median.count(),
                 spread.p99.count());
      if (csv.is_open()) {
        csv << fmt::format(
            "config_spread_p99_ms,{}/{},{:.1f},{:.1f},{:.0f},{:.4f}\n",
            deployment.name, NameOf(way), baseline.p99.count(),
            spread.p99.count(), deployment.bound.count(),
            spread.p99 / deployment.bound);
      }
    }
  }
}

}  // namespace
}  // namespace fireflythread

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_changes < 1 || FLAGS_changes > 1'000'000) {
    fmt::print(stderr, "--changes must be from 1 to 1000000\n");
    return 2;
  }
  fireflythread::Run();
  return 0;
}
