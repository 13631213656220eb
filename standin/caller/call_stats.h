#ifndef STANDIN_CALLER_CALL_STATS_H_
#define STANDIN_CALLER_CALL_STATS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/caller/call_record.h"

namespace fireflythread::standin {

/// Counts of outcomes for all requests and for each service and urgency.
class CallStats {
 public:
  auto Add(const CallRecord& record) -> void;
  [[nodiscard]] auto Summary() const -> nlohmann::json;

 private:
  struct Group {
    std::uint64_t sent = 0;
    std::uint64_t in_time = 0;
    std::map<std::string, std::uint64_t> outcomes;
    /// Latencies of the answered requests, in milliseconds.
    std::vector<double> latencies;
  };

  static auto AddTo(Group& group, const CallRecord& record) -> void;
  static auto GroupJson(const Group& group) -> nlohmann::json;

  Group all;
  std::map<std::string, Group> services;
  std::map<std::string, Group> urgencies;
  std::map<std::string, std::uint64_t> not_run;
  std::map<std::string, std::uint64_t> unknown;
  std::map<std::string, std::uint64_t> statuses;
  std::map<std::string, std::uint64_t> repeats;
  std::vector<std::string> mismatched_ids;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_CALL_STATS_H_
