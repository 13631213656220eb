#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <string>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

constexpr const char* kService = "plan-seams";
constexpr unsigned kAccepted = 202;

auto Submit(Site& site,
            std::size_t entry,
            const std::string& key,
            const Json& body) -> HttpAnswer {
  return site.CallPath(entry, "POST", std::string(kService) + "/tasks",
                       body.dump(), {{"Idempotency-Key", key}});
}

auto Cancel(Site& site, std::size_t entry, const std::string& id)
    -> HttpAnswer {
  return site.CallPath(entry, "DELETE", std::string(kService) + "/tasks/" + id,
                       "", {});
}

/// The state of a task by the platform's table; empty without a row.
auto StateOf(Site& site, const std::string& id) -> std::string {
  const auto rows = site.Platform().Rows("task");
  const auto row = rows.find(id);
  return row == rows.end() ? "" : row->second.value("state", "");
}

auto WaitForState(Site& site, const std::string& id, const std::string& state)
    -> bool {
  return WaitUntil([&] { return StateOf(site, id) == state; });
}

/// Waits until the task has made progress on a worker; returns that worker.
auto WaitForProgress(Site& site, const std::string& id) -> std::string {
  constexpr double kSomeProgress = 0.05;
  std::string vm;
  (void)WaitUntil([&] {
    const auto tasks = site.Platform().Tasks();
    const auto task = tasks.find(id);
    if (task == tasks.end() ||
        task->second.at("progress").get<double>() < kSomeProgress) {
      return false;
    }
    vm = task->second.at("vm");
    return true;
  });
  return vm;
}

/// No run began while the lease of the run before was valid, and each had a
/// higher fence.
auto CheckLeases(const Json& runs) -> void {
  std::map<std::string, std::uint64_t> fences;
  for (const Json& run : runs) {
    CAPTURE(run.dump());
    CHECK_FALSE(run.at("overlaps").get<bool>());
    const auto fence = run.at("fence").get<std::uint64_t>();
    CHECK(fence > fences[run.at("task")]);
    fences[run.at("task")] = fence;
  }
}

}  // namespace

// Guards against a task that is answered 202 before its row is stored, or that
// is lost with the entry that accepted it or with the controller.
TEST_CASE("an accepted long task survives its entry and the controller") {
  Site site;
  REQUIRE(WaitUntil([&site] {
    return site.Platform().Rows("lease").contains("controller");
  }));
  const std::size_t controller = site.Controller();
  const std::size_t entry = (controller + 1) % 3;
  site.Platform().SetFaults({{"store", "refuse"}});
  CHECK(Submit(site, entry, "down", {{"work_ms", 100}}).status != kAccepted);
  site.Platform().SetFaults({{"store", "none"}});
  HttpAnswer accepted;
  REQUIRE(WaitUntil([&] {
    accepted = Submit(site, entry, "seams", {{"work_ms", 3000}});
    return accepted.status == kAccepted;
  }));
  site.Entry(entry).Signal(SIGKILL);
  site.Entry(controller).Signal(SIGKILL);
  const std::string id = accepted.Json().at("id");
  CHECK(StateOf(site, id) != "");
  CHECK(WaitForState(site, id, "done"));
  CheckLeases(site.Platform().Runs());
}

// Guards against a task whose progress is lost, or that is cut off, when its VM
// is taken away in an orderly way.
TEST_CASE("a long task moves with its checkpoint") {
  Site site;
  site.Platform().SetFaults(
      {{"reboot_ms", 500}, {"report_lag_ms", 200}, {"list_lag_ms", 0}});
  const std::string reason = GENERATE("leaving", "maintenance");
  CAPTURE(reason);
  const HttpAnswer accepted = Submit(site, 0, "seams", {{"work_ms", 6000}});
  REQUIRE(accepted.status == kAccepted);
  const std::string id = accepted.Json().at("id");
  const std::string vm = WaitForProgress(site, id);
  REQUIRE(!vm.empty());
  if (reason == "leaving") {
    site.Platform().SetFaults({{"leave", {vm}}, {"leave_grace_ms", 60000}});
  } else {
    const Json order = {{"vms", {vm}}, {"reason", "test"}};
    REQUIRE(site.Admin(1, "POST", "/v1/maintenance", order.dump()).status <
            300);
  }
  CHECK(WaitForState(site, id, "done"));
  const Json runs = site.Platform().Runs();
  CAPTURE(runs.dump(1));
  CheckLeases(runs);
  REQUIRE(runs.size() == 2);
  CHECK(runs[1].at("vm") != vm);
  CHECK(runs[1].at("checkpoint") != "");
}

// Guards against a task that is lost with its worker, and against a second
// worker that is given the task while the first, which is only cut off from the
// platform, still runs it under a valid lease.
TEST_CASE("a lost worker's long task is leased again after its lease") {
  Site site;
  site.Platform().SetFaults({{"report_lag_ms", 200}, {"list_lag_ms", 0}});
  const HttpAnswer accepted = Submit(site, 0, "seams", {{"work_ms", 15000}});
  REQUIRE(accepted.status == kAccepted);
  const std::string id = accepted.Json().at("id");
  const std::string vm = WaitForProgress(site, id);
  REQUIRE(!vm.empty());
  site.Platform().SetFaults(
      {{"isolated_workers", {vm}}, {"leave", {vm}}, {"leave_grace_ms", 0}});
  REQUIRE(WaitUntil([&] { return site.Platform().Runs().size() == 2; }));
  const Json runs = site.Platform().Runs();
  CAPTURE(runs.dump(1));
  CheckLeases(runs);
  CHECK(runs[1].at("vm") != vm);
  CHECK(WaitForState(site, id, "done"));
}

// Guards against a task that stays with a worker for good when only the
// platform's reports and commands no longer reach that worker.
TEST_CASE("a long task leaves a worker that is cut off from the platform") {
  Site site;
  site.Platform().SetFaults({{"report_lag_ms", 200}});
  const HttpAnswer accepted = Submit(site, 0, "seams", {{"work_ms", 15000}});
  REQUIRE(accepted.status == kAccepted);
  const std::string id = accepted.Json().at("id");
  const std::string vm = WaitForProgress(site, id);
  REQUIRE(!vm.empty());
  site.Platform().SetFaults({{"isolated_workers", {vm}}});
  REQUIRE(WaitUntil([&] { return site.Platform().Runs().size() == 2; }));
  CheckLeases(site.Platform().Runs());
  CHECK(WaitForState(site, id, "done"));
}

// Guards against cancellations that a burst, lost answers or a race with the
// controller's placement lets go unheeded.
TEST_CASE("a wave of cancellations ends every long task") {
  Site site;
  site.Platform().SetFaults({{"report_lag_ms", 200}});
  constexpr std::size_t kTasks = 50;
  std::vector<std::future<HttpAnswer>> answers;
  for (std::size_t i = 0; i < kTasks; ++i) {
    answers.push_back(std::async(std::launch::async, [&site, i] {
      return Submit(site, i % 3, "seams-" + std::to_string(i),
                    {{"work_ms", i % 10 == 0 ? 500 : 60000}});
    }));
  }
  std::vector<std::string> ids;
  for (auto& answer : answers) {
    const HttpAnswer got = answer.get();
    REQUIRE(got.status == kAccepted);
    ids.push_back(got.Json().at("id"));
  }
  REQUIRE(WaitUntil([&] { return site.Platform().Runs().size() >= 10; }));
  site.Platform().SetFaults({{"lose_answers", 5}, {"lose_table", "task"}});
  answers.clear();
  for (std::size_t i = 0; i < kTasks; ++i) {
    answers.push_back(std::async(std::launch::async, [&site, &ids, i] {
      return Cancel(site, i % 3, ids[i]);
    }));
  }
  for (std::size_t i = 0; i < kTasks; ++i) {
    const HttpAnswer got = answers[i].get();
    INFO(got.status << " " << got.reason << " " << got.body);
    CHECK((got.status == kAccepted || got.status == 200));
  }
  const auto all_ended = [&] {
    const auto rows = site.Platform().Rows("task");
    return std::all_of(ids.begin(), ids.end(), [&rows](const auto& id) {
      const std::string state = rows.at(id).at("state");
      return state == "cancelled" || state == "done";
    });
  };
  CHECK(WaitUntil(all_ended));
  for (const auto& [id, task] : site.Platform().Tasks()) {
    CAPTURE(task.dump(), StateOf(site, id));
    CHECK(task.at("state") != "running");
    CHECK(task.at("state") != "checkpointed");
  }
  CheckLeases(site.Platform().Runs());
}

// Guards against a task that can never run and takes worker after worker.
TEST_CASE("a long task that fails on three workers never runs again") {
  Site site;
  site.Platform().SetFaults({{"report_lag_ms", 200}});
  const HttpAnswer accepted =
      Submit(site, 0, "seams", {{"work_ms", 50}, {"fail", true}});
  REQUIRE(accepted.status == kAccepted);
  const std::string id = accepted.Json().at("id");
  CHECK(WaitForState(site, id, "never-runs"));
  const Json runs = site.Platform().Runs();
  CheckLeases(runs);
  CHECK(runs.size() == 3);
  std::set<std::string> vms;
  for (const Json& run : runs) {
    vms.insert(run.at("vm"));
  }
  CHECK(vms.size() == 3);
}

}  // namespace fireflythread::test
