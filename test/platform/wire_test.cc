#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "platform/entry_settings.h"
#include "platform/job_wire.h"
#include "platform/orders_wire.h"
#include "platform/records_wire.h"
#include "platform/store_wire.h"
#include "test/fireflythread/settings/settings_text.h"

namespace fireflythread::adapter {
namespace {

constexpr const char* kWorkerEntry =
    R"({"service":"desk","address":"10.1.0.9:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
    R"("born":77,"seq":4})";

TEST_CASE("A worker's entry is decoded", "[platform]") {
  const auto entry = DecodeWorkerEntry("i-1", kWorkerEntry);
  const auto* worker = std::get_if<WorkerView>(&entry);
  REQUIRE(worker != nullptr);
  CHECK(worker->rack == "r1-3");
  CHECK(worker->capacity.millicores == 16000);
  CHECK(worker->started_at.count() == 77);
  CHECK_FALSE(worker->draining);
}

TEST_CASE("Invalid worker entries are rejected", "[platform]") {
  // Guards against work sent to something that is no worker, and against a
  // crash, when another program wrote the entry.
  for (const char* text :
       {"", "null", "[]", "7", "{}", R"({"service":"desk"})",
        R"({"service":7,"address":"x","state":"ready","capacity":{}})",
        R"({"service":"desk","address":"x","state":"other","capacity":{}})",
        R"({"service":"desk","address":"x","state":"ready","capacity":3})"}) {
    CHECK(std::holds_alternative<WorkerEntryFault>(
        DecodeWorkerEntry("i-1", text)));
  }
}

/// Returns kWorkerEntry with one value replaced.
auto EntryWith(const std::string& old_text, const std::string& new_text)
    -> std::string {
  std::string entry = kWorkerEntry;
  entry.replace(entry.find(old_text), old_text.size(), new_text);
  return entry;
}

/// Returns the field that keeps an entry from being used, or "none".
auto FaultOf(const std::string& entry) -> std::string {
  const auto result = DecodeWorkerEntry("i-1", entry);
  const auto* fault = std::get_if<WorkerEntryFault>(&result);
  return fault == nullptr ? "none" : fault->field;
}

TEST_CASE("A worker's entry with an impossible capacity is left out",
          "[platform]") {
  // Guards against an entry of another writer that every placement prefers, and
  // against conversions that are undefined or differ between processors.
  for (const char* cpu : {"1e300", "-1e300", "18446744073709551616",
                          "18446744073709551615", "-5", "9223372036854775807",
                          "10000001", "0.5", "\"16000\"", "null", "[16000]"}) {
    INFO(cpu);
    CHECK(FaultOf(EntryWith("16000", cpu)) == "capacity");
  }
  CHECK(FaultOf(EntryWith("\"cpu\":16000,", "")) == "capacity");
  CHECK(FaultOf(EntryWith("32768", "1e18")) == "capacity");
  CHECK(FaultOf(EntryWith("\"gpu\":0", "\"gpu\":-1")) == "capacity");
  CHECK(FaultOf(EntryWith("16000", "16000.0")) == "none");
}

TEST_CASE("A submission that is made to be costly is refused", "[platform]") {
  // Guards against a process that ends, hangs or needs many times a body's size
  // because of deep nesting, very many members or repeated keys.
  constexpr std::size_t kBodyBytes = 256 << 10;
  std::string members = "{";
  for (int member = 0; members.size() < kBodyBytes - 20; ++member) {
    members += "\"f" + std::to_string(member) + "\":1,";
  }
  members.back() = '}';
  std::string repeated = "{";
  while (repeated.size() < kBodyBytes - 20) {
    repeated += "\"steps\":[],";
  }
  repeated.back() = '}';
  for (const std::string& body :
       {std::string(kBodyBytes, '['), std::string(kBodyBytes, '{'),
        std::string(kBodyBytes, '9'), std::string(kBodyBytes, '\xff'),
        std::string(kBodyBytes / 2, '[') + std::string(kBodyBytes / 2, ']'),
        members, repeated}) {
    CHECK_FALSE(DecodeJobBody(body).has_value());
  }
}

TEST_CASE("A configuration's organisations are decoded", "[platform]") {
  // Guards against organisations without limits or keys because of one entry
  // that can't be read, and against keys that nobody asked for.
  const auto configuration = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"a","public":true},{"name":"b"}],)"
      R"("tenants":[{"name":"north","api_keys":["k1",7,"","k2"],"weight":163,)"
      R"("cap":{"cpu":5040380,"mem_mb":8485844,"gpu":0}},)"
      R"({"name":"no cap"},{"api_keys":["k3"]},7,)"
      R"({"name":"x","weight":-1},{"name":"y","cap":{"cpu":-1}}]})");
  REQUIRE(configuration.has_value());
  CHECK(configuration->requires_keys);
  CHECK(configuration->queues.at(0).is_public);
  CHECK_FALSE(configuration->queues.at(1).is_public);
  REQUIRE(configuration->organisations.size() == 2);
  CHECK(configuration->unreadable_organisations == 4);
  const Organisation& north = configuration->organisations.at(0);
  CHECK(north.name == OrganisationName("north"));
  CHECK(north.api_keys == std::vector<std::string>{"k1", "k2"});
  CHECK(north.weight == 163.0);
  CHECK(north.cap == TaskSize{5040380, 8485844, 0});
  CHECK_FALSE(HasCap(configuration->organisations.at(1)));
  const auto without = DecodeConfiguration(R"({"version":7})");
  REQUIRE(without.has_value());
  CHECK_FALSE(without->requires_keys);
}

TEST_CASE("A worker's entry with an impossible time is left out",
          "[platform]") {
  for (const char* born : {"9e18", "1e300", "-1", "true", "77.5"}) {
    INFO(born);
    CHECK(FaultOf(EntryWith("77", born)) == "born");
  }
  CHECK(FaultOf(EntryWith("\"seq\":4", "\"remaining_ms\":1e17")) ==
        "remaining_ms");
}

TEST_CASE("A worker's entry with an impossible address is left out",
          "[platform]") {
  // Guards against calls to an address that nothing can listen at.
  for (const char* address :
       {"10.1.0.9:99999", "10.1.0.9:-1", "10.1.0.9:0", "10.1.0.9", ":80",
        "10.1.0.9:80\\n", "10.1.0.9\\n:80", "10.1.0.9:80x", "desk:80", ""}) {
    INFO(address);
    CHECK(FaultOf(EntryWith("10.1.0.9:80", address)) == "address");
  }
}

TEST_CASE("A deeply nested worker's entry is left out", "[platform]") {
  // Guards against a stack that overflows, be it in the parser or in the
  // destructor of what it returns. The store's rows are 64 KiB at most.
  constexpr std::size_t kLevels = 2'000'000;
  const std::string open(kLevels, '[');
  const std::string close(kLevels, ']');
  CHECK(FaultOf(open).empty());
  CHECK(FaultOf(open + close).empty());
  CHECK(FaultOf(EntryWith("16000", open + close)) == "capacity");
  CHECK(FaultOf(EntryWith("[\"a\",\"r1-3\"]", open + close)) == "labels");
}

TEST_CASE("Numbers out of range in a submission are rejected", "[platform]") {
  // Guards against sums that overflow and against a job that no worker could
  // ever run.
  for (const char* step :
       {R"({"count":1e300,"cpu":1})", R"({"count":1.5,"cpu":1})",
        R"({"count":1,"cpu":1e300})", R"({"count":1,"cpu":-1})",
        R"({"count":1,"mem_mb":18446744073709551615})",
        R"({"count":1,"estimate_ms":9e18})", R"({"count":1,"gpu":"x"})"}) {
    INFO(step);
    CHECK_FALSE(
        DecodeJobBody(std::string(R"({"steps":[)") + step + "]}").has_value());
  }
  CHECK_FALSE(DecodeJobBody(R"({"steps":[{"count":1}],"interval_ms":9e18})")
                  .has_value());
  CHECK_FALSE(
      DecodeJobBody(R"({"steps":[{"count":1},{"count":1,"after":[1e300]}]})")
          .has_value());
}

TEST_CASE("Numbers out of range in a report are left out", "[platform]") {
  // Guards against a run number or a completion that no worker can have sent.
  const Json body =
      Json::parse(R"({"clock_ms":5,"born":9,"running":)"
                  R"([["5c0e7a21d94b36f8.0.1.17",1e300,"",41],)"
                  R"(["5c0e7a21d94b36f8.0.1.18",-1,"",41],)"
                  R"(["5c0e7a21d94b36f8.0.1.19",1,"",1e18]],)"
                  R"("ended":[[-1,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
                  R"([1e300,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
                  R"([5,"5c0e7a21d94b36f8.0.1.9",1e10,"done",""]]})");
  const auto result = DecodeReport(JsonReply{200, body});
  const auto* report = std::get_if<WorkerReport>(&result);
  REQUIRE(report != nullptr);
  CHECK(report->running.empty());
  CHECK(report->ended.empty());
}

TEST_CASE("The body of a job submission is decoded and checked", "[platform]") {
  const auto job = DecodeJobBody(
      R"({"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":256},)"
      R"({"count":2,"cpu":100,"after":[0],"fills":true}]})");
  REQUIRE(job.has_value());
  CHECK(job->steps[1].after == std::vector<int>{0});
  CHECK(job->steps[1].filler);
  for (const char* text :
       {"", "{", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":1,"after":[0]}]})",
        R"({"steps":[{"count":1,"after":"x"}]})", R"({"steps":[{"count":-1}]})",
        R"({"steps":[7]})", R"({"steps":[{"count":1}],"repeat_count":-1})"}) {
    CHECK_FALSE(DecodeJobBody(text).has_value());
  }
  CHECK_FALSE(DecodeJobBody(R"({"spec":")" + std::string(5000, 'x') +
                            R"(","steps":[{"count":1}]})")
                  .has_value());
}

TEST_CASE("Job ids have 16 hexadecimal digits", "[platform]") {
  CHECK(IsJobId("5c0e7a21d94b36f8"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36fg"));
  CHECK_FALSE(IsJobId(""));
}

TEST_CASE("Answers to orders are mapped to verdicts", "[platform]") {
  // Guards against a refusal that is treated as a started run, and the reverse.
  const auto verdict = [](unsigned status, const char* body) {
    return DecodeOrderReply(
               JsonReply{status, Json::parse(body, nullptr, false)})
        .verdict;
  };
  CHECK(verdict(200, R"({"clock_ms":5})") == OrderVerdict::kDone);
  CHECK(verdict(409, R"({"reason":"fence"})") == OrderVerdict::kFenced);
  CHECK(verdict(409, R"({"reason":"old"})") == OrderVerdict::kOldRun);
  CHECK(verdict(409, R"({"reason":"late"})") == OrderVerdict::kDeadlinePassed);
  CHECK(verdict(409, R"({"reason":"room"})") == OrderVerdict::kNoCapacity);
  CHECK(verdict(421, "{}") == OrderVerdict::kOtherInstance);
  CHECK(verdict(503, "") == OrderVerdict::kUnhealthy);
  CHECK(verdict(500, "") == OrderVerdict::kUnknown);
  CHECK(DecodeOrderReply(HttpFailure{"x", true}).verdict ==
        OrderVerdict::kUnknown);
  CHECK(DecodeOrderReply(HttpFailure{"x", false}).verdict ==
        OrderVerdict::kNotSent);
}

TEST_CASE("A pace order has the fields of the protocol", "[platform]") {
  // Guards against orders that workers reject or apply to another run.
  const PaceCommand pace{WorkerId("i-1"),
                         "10.0.0.1:80",
                         TaskName{JobId("00000000000000aa"), 0, 1, 2},
                         3,
                         40,
                         77};
  CHECK(EncodePace(pace) == Json{{"task", FormatTaskName(pace.task)},
                                 {"run", 3},
                                 {"percent", 40},
                                 {"fencing_token", 77}});
}

TEST_CASE("A worker's report is decoded", "[platform]") {
  const Json body = Json::parse(
      R"({"clock_ms":482113,"born":9,"running":)"
      R"([["5c0e7a21d94b36f8.0.1.17",2,"ck",41,12],["bad"],7],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"failed",""],[1]]})");
  const auto result = DecodeReport(JsonReply{200, body});
  const auto* report = std::get_if<WorkerReport>(&result);
  REQUIRE(report != nullptr);
  REQUIRE(report->running.size() == 1);
  CHECK(report->running[0].usage == 12);
  REQUIRE(report->ended.size() == 1);
  CHECK(report->ended[0].end == RunResult::kFailed);
}

/// Returns whether a report with these numbers of readable and unreadable
/// entries counts as complete.
auto IsReportComplete(int ended, const char* running = "[]") -> bool {
  Json body = Json::parse(R"({"clock_ms":5,"born":9})");
  body["running"] = Json::parse(running);
  body["ended"] = Json::array();
  for (int number = 1; number <= ended; ++number) {
    body["ended"].push_back(
        Json::array({number, "5c0e7a21d94b36f8.0.1." + std::to_string(number),
                     1, "done", ""}));
  }
  const auto result = DecodeReport(JsonReply{200, body});
  return std::get<WorkerReport>(result).complete;
}

TEST_CASE("A report that may lack runs is incomplete", "[platform]") {
  // Guards against a run that is given up because the worker lists at most 500
  // completions at once, or because one entry of the report is unreadable.
  CHECK(IsReportComplete(0));
  CHECK(IsReportComplete(499));
  CHECK_FALSE(IsReportComplete(500));
  CHECK(IsReportComplete(1, R"([["5c0e7a21d94b36f8.0.1.17",2,"ck",41]])"));
  CHECK_FALSE(IsReportComplete(1, R"([["5c0e7a21d94b36f8.0.1.17",2]])"));
}

TEST_CASE("A conflict has the rows that differ from the conditions",
          "[platform]") {
  // Guards against a writer that takes a row for changed because the store
  // lists all rows of a refused transaction, or leaves out absent ones.
  const std::vector<Condition> conditions = {{"fence", "owner", 5, "p"},
                                             {"waiting", "counts", 7, "p"}};
  const auto decode = [&](const char* text) {
    return DecodeConflict(Json::parse(text), conditions).current;
  };
  const auto changed =
      decode(R"({"rows":[{"table":"fence","part":"p","key":"owner","ver":5},)"
             R"({"table":"waiting","part":"p","key":"counts","ver":9}]})");
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].table == "waiting");
  CHECK(changed[0].version == 9);
  const auto only_changed = decode(
      R"({"rows":[{"table":"waiting","part":"p","key":"counts","ver":9}]})");
  REQUIRE(only_changed.size() == 1);
  CHECK(only_changed[0].version == 9);
  const auto absent = decode(
      R"({"rows":[{"table":"fence","part":"p","key":"owner","ver":5}]})");
  REQUIRE(absent.size() == 1);
  CHECK(absent[0].table == "waiting");
  CHECK(absent[0].version == 0);
}

TEST_CASE("The decoders accept any text without a crash", "[platform]") {
  // Guards against a crash caused by bytes that another program wrote.
  rc::check("decoders take any text", [](const std::string& text) {
    (void)DecodeWorkerEntry("i", text);
    (void)DecodeConfiguration(text);
    (void)DecodeWave(text);
    (void)DecodeJobBody(text);
    (void)ParseEntrySettings("f", text);
    const Json json = Json::parse(text, nullptr, false);
    (void)DecodeRows(json);
    (void)DecodeReport(JsonReply{200, json});
  });
}

TEST_CASE("The decoders survive deep nesting", "[platform]") {
  // Guards against an entry that exhausts its stack on a row that another
  // program wrote.
  constexpr std::size_t kLevels = 100'000;
  const std::string deep =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  for (const char* list : {"routes", "services", "tenants"}) {
    INFO(list);
    const auto configuration = DecodeConfiguration(
        R"({"version":7,")" + std::string(list) + "\":[" + deep + "]}");
    REQUIRE(configuration.has_value());
    CHECK(configuration->version == 7);
  }
  const auto keys = DecodeConfiguration(
      R"({"version":7,"tenants":[{"name":"north","api_keys":[)" + deep +
      "]}]}");
  REQUIRE(keys.has_value());
  CHECK(keys->organisations.at(0).api_keys.empty());
  CHECK(DecodeWave(R"({"wave":1,"machines":[)" + deep + "]}").has_value());
}

TEST_CASE("The decoders survive a change of any one character", "[platform]") {
  const std::string entry = kWorkerEntry;
  for (std::size_t position = 0; position < entry.size(); ++position) {
    for (const char letter : {'"', '{', '}', '[', '0', ':'}) {
      std::string changed = entry;
      changed[position] = letter;
      (void)DecodeWorkerEntry("i", changed);
      (void)DecodeConfiguration(changed);
      (void)DecodeJobBody(changed);
    }
  }
}

TEST_CASE("Settings faults are reported together", "[platform]") {
  const auto result = ParseEntrySettings(
      "entry.ini",
      "[entry]\nid = a\nzone = z\ncaller_listen = nowhere\nother = 1\n");
  const auto* faults = std::get_if<std::vector<SettingsFault>>(&result);
  REQUIRE(faults != nullptr);
  // An invalid address, an unknown key and two missing keys.
  CHECK(faults->size() == 4);
}

auto EntryText(const std::string& limits) -> std::string {
  return "[entry]\nid = a\nzone = z\ncaller_listen = 127.0.0.1:1\n"
         "ready_listen = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\n"
         "[limits]\n" +
         limits;
}

TEST_CASE("The entry's capacity is parsed", "[platform]") {
  const auto result =
      ParseEntrySettings("f", EntryText("cpu_cores = 0.12\nlink_mbps = 200\n"));
  const auto* settings = std::get_if<EntrySettings>(&result);
  REQUIRE(settings != nullptr);
  CHECK(settings->capacity.cpu_millicores == 120);
  CHECK(settings->capacity.link_mbps == 200);
  CHECK(std::holds_alternative<EntrySettings>(
      ParseEntrySettings("f", EntryText(""))));
}

TEST_CASE("A capacity that is not a positive number is a fault", "[platform]") {
  // Guards against an entry that gets all shards or none because of a typing
  // mistake in its settings.
  for (const char* value :
       {"0", "-1", "", "x", "1x", "nan", "inf", "1e300", "0.5 0.5"}) {
    for (const char* key : {"cpu_cores", "link_mbps"}) {
      const auto result = ParseEntrySettings(
          "f", EntryText(std::string(key) + " = " + value + "\n"));
      const auto* faults = std::get_if<std::vector<SettingsFault>>(&result);
      REQUIRE(faults != nullptr);
      REQUIRE(faults->size() == 1);
      CHECK(faults->front().problem == "not an allowed value");
    }
  }
}

TEST_CASE("The settings template sets the entry's capacity", "[platform]") {
  // Guards against capacity settings that the platform never renders.
  std::ifstream file(test::SourceFile("deploy/entry.ini.in"));
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  CHECK(text.find("cpu_cores = {{limits.cpu_share}}") != std::string::npos);
  CHECK(text.find("link_mbps = {{limits.link_mbps}}") != std::string::npos);
}

// Guards against an entry that listens for relay peers without a configured
// address, or that starts with an address on which it cannot listen.
TEST_CASE("The listen address for relay peers is optional", "[platform]") {
  const std::string required =
      "[entry]\nid = a\nzone = z\ncaller_listen = 127.0.0.1:1\n"
      "ready_listen = 127.0.0.1:2\n";
  const std::string store = "[platform]\nstore = 127.0.0.1:3\n";
  const auto peer_listen = [&](const std::string& line) -> std::string {
    const auto result = ParseEntrySettings("f", required + line + store);
    const auto* settings = std::get_if<EntrySettings>(&result);
    return settings == nullptr ? "fault" : settings->peer_listen;
  };
  CHECK(peer_listen("").empty());
  CHECK(peer_listen("peer_listen =\n").empty());
  CHECK(peer_listen("peer_listen = 10.0.0.1:7\n") == "10.0.0.1:7");
  CHECK(peer_listen("peer_listen = elsewhere\n") == "fault");
}

}  // namespace
}  // namespace fireflythread::adapter
