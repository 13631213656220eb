#include "fireflythread/telemetry/log_record.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

const LogIdentity kIdentity{EntryId("entry-1"), ZoneName("nelson-yard")};
const WallTime kNow{std::chrono::milliseconds(1'700'000'000'123)};

}  // namespace

// Guards against log lines that alerts and searches cannot read.
TEST_CASE("a log line is one JSON object with stable names") {
  const LogRecord record{LogLevel::kWarning,
                         "lease",
                         "lease_lost",
                         {{"holder", EntryId("entry-2")},
                          {"epoch", 7},
                          {"late_ms", 1.5},
                          {"frozen", true}},
                         "r-1",
                         "t-1"};
  CHECK(FormatLogLine(record, kIdentity, kNow) ==
        R"({"time":"2023-11-14T22:13:20.123Z","level":"warning",)"
        R"("component":"lease","zone":"nelson-yard","entry":"entry-1",)"
        R"("event":"lease_lost","request_id":"r-1","trace_id":"t-1",)"
        R"("fields":{"holder":"entry-2","epoch":7,"late_ms":1.5,)"
        R"("frozen":true}})");
}

// Guards against tokens in logs and against lines that bytes of a client
// break in two or make unreadable.
TEST_CASE("secrets and broken text are replaced in log lines") {
  const LogRecord record{LogLevel::kInfo,
                         "admin",
                         "request",
                         {{"admin_token", "hunter2"}, {"path", "a\nb\xff"}},
                         "",
                         ""};
  const std::string line = FormatLogLine(record, kIdentity, kNow);
  CHECK(line.find("hunter2") == std::string::npos);
  CHECK(line.find('\n') == std::string::npos);
  CHECK(nlohmann::json::parse(line)["fields"]["admin_token"] == "[redacted]");
}

// Guards against debug lines that flood standard error in production.
TEST_CASE("a logger drops records below its level") {
  std::vector<std::string> lines;
  const Logger logger(
      kIdentity, LogLevel::kWarning,
      [&](std::string_view line) -> void { lines.emplace_back(line); },
      []() -> WallTime { return kNow; });
  logger.Info("store", "poll");
  logger.Error("store", "store_unavailable", {{"waited_ms", 500}});
  REQUIRE(lines.size() == 1);
  CHECK(nlohmann::json::parse(lines[0])["fields"]["waited_ms"] == 500);
}

}  // namespace fireflythread
