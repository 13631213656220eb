#include "fireflythread/jobs/job_codec.h"

#include <catch2/catch.hpp>

#include "fireflythread/jobs/task_name.h"

namespace fireflythread::test {
namespace {

TEST_CASE("A job is decoded from its row unchanged", "[jobs]") {
  JobRequest job;
  job.id = JobId("0123456789abcdef");
  job.queue = QueueId("orders.example/");
  job.organisation = OrganisationName("north");
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
  job.terms = QueueTerms{2, 4, 1.6, std::chrono::milliseconds(600)};
  const std::string text = EncodeJobRequest(job);
  const auto decoded = DecodeJobRequest(job.id, text);
  REQUIRE(decoded.has_value());
  CHECK(EncodeJobRequest(*decoded) == text);
  CHECK(decoded->steps[0].has_disruption_budget);
  CHECK(decoded->first_due == job.first_due);
  CHECK(decoded->terms == job.terms);
  CHECK(decoded->queue == job.queue);
  CHECK(decoded->organisation == job.organisation);
}

TEST_CASE("Members of a step with default values are not in the row",
          "[jobs]") {
  // Guards against takeovers that are slowed by decoding default values: a new
  // owner decodes the rows of all open jobs.
  JobRequest job;
  job.queue = QueueId("orders.example/");
  JobStep step;
  step.count = 2;
  step.size.millicores = 500;
  job.steps = {step};
  const std::string text = EncodeJobRequest(job);
  CHECK(text.find(R"("steps":[{"count":2,"millicores":500}])") !=
        std::string::npos);
  const auto decoded = DecodeJobRequest(job.id, text);
  REQUIRE(decoded.has_value());
  CHECK(decoded->steps[0].count == 2);
  CHECK(decoded->steps[0].after.empty());
  CHECK_FALSE(decoded->steps[0].has_disruption_budget);
}

TEST_CASE("A row with all members of a step can be decoded", "[jobs]") {
  // Guards against jobs that are lost because an earlier version, which also
  // wrote the default values, stored them.
  const auto job = DecodeJobRequest(
      JobId("a"),
      R"({"queue":"orders","spec":"s","steps":[{"count":3,"millicores":1500,)"
      R"("memory_mb":2048,"accelerators":0,"estimate_ms":900,"after":[],)"
      R"("checkpointing":true,"gang":false,"same_rack":false,)"
      R"("speculative":false,"long_running":false,"filler":false,)"
      R"("required_label":"","data_rack":"","max_per_worker":0,"image":"i",)"
      R"("latency_target_ms":0,"disruption_budget":null}],"repeat_count":0,)"
      R"("first_due_ms":0,"interval_ms":0,"accepted_ms":77})");
  REQUIRE(job.has_value());
  CHECK(job->queue.empty());
  CHECK(job->queue_name == QueueName("orders"));
  CHECK(job->steps[0].size.memory_mb == 2048);
  CHECK(job->steps[0].estimate == std::chrono::milliseconds(900));
  CHECK(job->steps[0].checkpointing);
  CHECK_FALSE(job->steps[0].has_disruption_budget);
}

TEST_CASE("Decoding an unreadable row returns no value", "[jobs]") {
  CHECK_FALSE(DecodeJobRequest(JobId("a"), "").has_value());
  CHECK_FALSE(DecodeJobRequest(JobId("a"), "{}").has_value());
  CHECK_FALSE(DecodeJobRequest(JobId("a"), R"({"queue":7})").has_value());
  for (const char* steps : {R"([{}])", R"([{"count":"x"}])", R"([7])",
                            R"([{"count":1,"gang":5}])"}) {
    CHECK_FALSE(DecodeJobRequest(JobId("a"),
                                 std::string(R"({"queue":"q","spec":"",)") +
                                     R"("repeat_count":0,"first_due_ms":0,)" +
                                     R"("interval_ms":0,"accepted_ms":1,)" +
                                     R"("steps":)" + steps + "}")
                    .has_value());
  }
  CHECK_FALSE(DecodeJobProgress("[]", 1).has_value());
  CHECK_FALSE(DecodeJobProgress(R"({"state":9,"tasks":[0]})", 1).has_value());
  CHECK_FALSE(DecodeJobProgress(R"({"state":1,"tasks":[0]})", 2).has_value());
  CHECK_FALSE(DecodeJobState("{").has_value());
}

TEST_CASE("Task names are parsed as they are formatted", "[jobs]") {
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
