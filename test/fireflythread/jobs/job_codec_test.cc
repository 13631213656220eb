#include "fireflythread/jobs/job_codec.h"

#include <catch2/catch.hpp>

#include "fireflythread/jobs/task_name.h"

namespace fireflythread::test {
namespace {

TEST_CASE("A job's row gives back the job", "[jobs]") {
  JobRequest job;
  job.id = JobId("0123456789abcdef");
  job.queue = QueueName("orders");
  job.spec = "text \"quoted\"";
  JobStep step;
  step.count = 3;
  step.size = {1500, 2048, 1};
  step.after = {};
  step.filler = true;
  step.has_disruption_budget = true;
  step.disruption_budget = 0;
  step.latency_target = std::chrono::milliseconds(80);
  step.data_rack = "r1-2";
  job.steps = {step};
  job.repeat_count = 4;
  job.first_due = WallTime(std::chrono::milliseconds(1234567));
  job.interval = std::chrono::milliseconds(500);
  const std::string text = EncodeJobRequest(job);
  const auto decoded = DecodeJobRequest(job.id, text);
  REQUIRE(decoded.has_value());
  CHECK(EncodeJobRequest(*decoded) == text);
  CHECK(decoded->steps[0].has_disruption_budget);
  CHECK(decoded->first_due == job.first_due);
}

TEST_CASE("Unreadable rows give no value", "[jobs]") {
  CHECK_FALSE(DecodeJobRequest(JobId("a"), "").has_value());
  CHECK_FALSE(DecodeJobRequest(JobId("a"), "{}").has_value());
  CHECK_FALSE(DecodeJobRequest(JobId("a"), R"({"queue":7})").has_value());
  CHECK_FALSE(DecodeJobProgress("[]", 1).has_value());
  CHECK_FALSE(DecodeJobProgress(R"({"state":9,"tasks":[0]})", 1).has_value());
  CHECK_FALSE(DecodeJobProgress(R"({"state":1,"tasks":[0]})", 2).has_value());
  CHECK_FALSE(DecodeJobState("{").has_value());
}

TEST_CASE("Task names are read as they are written", "[jobs]") {
  const TaskName name{JobId("5c0e7a21d94b36f8"), 2, 1, 17};
  CHECK(FormatTaskName(name) == "5c0e7a21d94b36f8.2.1.17");
  CHECK(ParseTaskName("5c0e7a21d94b36f8.2.1.17") == name);
  CHECK_FALSE(ParseTaskName("").has_value());
  CHECK_FALSE(ParseTaskName(".1.2.3").has_value());
  CHECK_FALSE(ParseTaskName("a.1.2").has_value());
  CHECK_FALSE(ParseTaskName("a.1.-2.3").has_value());
  CHECK_FALSE(ParseTaskName("a.1.2.3x").has_value());
}

}  // namespace
}  // namespace fireflythread::test
