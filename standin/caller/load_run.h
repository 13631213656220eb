#ifndef STANDIN_CALLER_LOAD_RUN_H_
#define STANDIN_CALLER_LOAD_RUN_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "fireflythread/base/random.h"
#include "fireflythread/base/time.h"
#include "standin/caller/arrival_schedule.h"
#include "standin/caller/call.h"
#include "standin/caller/call_mix.h"
#include "standin/caller/call_stats.h"

namespace fireflythread::standin {

/// The settings of a run.
struct LoadRunSettings {
  std::vector<std::string> entries;
  ArrivalSchedule schedule;
  CallMix mix;
  CallSettings call;
  double seconds = 10;
  std::uint64_t max_requests = 100000;
  /// Share of keyed requests that are sent again with the same key through the
  /// next entry (0 to 1).
  double repeat_share = 0;
  /// True: a repeat is sent right behind the first; false: after its end.
  bool repeat_at_once = false;
  /// Entries tried in turn while a connection is refused, as a load balancer
  /// does.
  std::size_t connect_attempts = 3;
  std::uint64_t seed = 1;
};

/// Sends the requests of one run in an open loop and collects the outcomes.
class LoadRun {
 public:
  /// Writes each outcome as a line of JSON to `outcome_lines` if it is not
  /// null; calls `on_end` when all requests have ended.
  LoadRun(LoadRunSettings run_settings,
          std::ostream* outcome_lines,
          std::function<void()> on_end);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  auto operator=(const LoadRun&) -> LoadRun& = delete;

  auto Start() -> void;
  [[nodiscard]] auto Summary() const -> nlohmann::json;

 private:
  /// Sends everything that is due and waits for the next arrival.
  auto SendDue() -> void;
  auto Send(const CallPlan& plan, TimePoint due, std::size_t attempts_left)
      -> void;
  auto SendRepeat(const CallPlan& plan) -> void;
  auto HandleEnd(const CallRecord& record,
                 TimePoint due,
                 std::size_t attempts_left) -> void;

  LoadRunSettings settings;
  std::ostream* lines;
  std::function<void()> end;
  SoupSession* session;
  Random random;
  CallStats stats;
  TimePoint begin;
  double next_arrival = 0;
  std::uint64_t number = 0;
  std::uint64_t outstanding = 0;
  std::uint64_t failovers = 0;
  bool arrivals_ended = false;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_LOAD_RUN_H_
