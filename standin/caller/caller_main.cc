#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "standin/caller/load_run.h"
#include "standin/common/main_loop.h"

DEFINE_string(entries, "", "host:port of each entry, separated by commas");
DEFINE_double(rate, 100, "mean arrivals a second");
DEFINE_string(surge,
              "",
              "multiples of the mean over time, as seconds:multiple,...");
DEFINE_double(seconds, 10, "length of the run");
DEFINE_uint64(max_requests, 100000, "most requests that are sent");
DEFINE_uint64(seed, 1, "seed of arrivals and kinds");
DEFINE_string(prefix, "c", "prefix of the request ids and keys");
DEFINE_string(services, "", "services and weights, as name:weight,...");
DEFINE_string(teams, "", "teams and weights; empty sends no team");
DEFINE_string(urgencies,
              "counter:70,deadline:20,batch:10",
              "urgencies and weights");
DEFINE_string(deadlines_ms,
              "counter:2000,deadline:8000,batch:30000",
              "deadline of each urgency");
DEFINE_double(keyed_share, 0.3, "share of non-idempotent requests");
DEFINE_double(get_share, 0.5, "share of GET among the idempotent requests");
DEFINE_double(repeat_share, 0, "share of keyed requests that are repeated");
DEFINE_bool(repeat_at_once, false, "repeat before the first has ended");
DEFINE_int32(work_ms, -1, "work of each request; negative: by urgency");
DEFINE_int32(body_bytes, 64, "size of the bodies of POST requests");
DEFINE_int32(answer_bytes, 0, "padding of the answers");
DEFINE_int32(grace_ms, 3000, "time after the deadline to wait for an answer");
DEFINE_bool(direct, false, "send to backend servers instead of entries");
DEFINE_string(outcomes, "", "file for every outcome as a line of JSON");

auto main(int argc, char** argv) -> int {
  namespace standin = fireflythread::standin;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standin::LoadRunSettings settings;
  for (const std::pair<std::string, double>& entry :
       standin::ParseNames(FLAGS_entries + ",", 0)) {
    settings.entries.push_back(
        fmt::format("{}:{}", entry.first, static_cast<int>(entry.second)));
  }
  if (settings.entries.empty() || FLAGS_services.empty()) {
    fmt::print(stderr, "--entries and --services are needed\n");
    return 2;
  }
  settings.schedule = {.mean_per_second = FLAGS_rate,
                       .steps = standin::ParseSteps(FLAGS_surge)};
  settings.mix = {.services = standin::ParseNames(FLAGS_services, 1),
                  .teams = standin::ParseNames(FLAGS_teams, 1),
                  .urgencies = standin::ParseNames(FLAGS_urgencies, 1),
                  .deadlines_ms = standin::ParseNames(FLAGS_deadlines_ms, 0),
                  .keyed_share = FLAGS_keyed_share,
                  .get_share = FLAGS_get_share,
                  .prefix = fmt::format("{}{}", FLAGS_prefix, FLAGS_seed)};
  settings.call = {.grace = std::chrono::milliseconds(FLAGS_grace_ms),
                   .work_ms = FLAGS_work_ms,
                   .body_bytes = FLAGS_body_bytes,
                   .answer_bytes = FLAGS_answer_bytes,
                   .direct = FLAGS_direct};
  settings.seconds = FLAGS_seconds;
  settings.max_requests = FLAGS_max_requests;
  settings.repeat_share = FLAGS_repeat_share;
  settings.repeat_at_once = FLAGS_repeat_at_once;
  settings.seed = FLAGS_seed;

  std::ofstream outcomes;
  if (!FLAGS_outcomes.empty()) {
    outcomes.open(FLAGS_outcomes);
  }
  standin::LoadRun run(std::move(settings),
                       outcomes.is_open() ? &outcomes : nullptr,
                       [] { standin::QuitMainLoop(); });
  // The run may end at once, so it starts from within the main loop.
  standin::RunLater(std::chrono::milliseconds(0), [&run] { run.Start(); });
  standin::RunMainLoop();
  fmt::print("{}\n", run.Summary().dump(1));
  return 0;
}
