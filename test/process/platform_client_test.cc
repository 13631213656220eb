#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "fireflythread/platform/io_http_platform_client.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"
#include "test/process/platform_standin.h"
#include "test/process/scratch_directory.h"
#include "test/process/wait_until.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than any answer of a healthy stand-in takes.
constexpr seconds kLong{30};
/// For calls that are meant to run into their timeout.
constexpr milliseconds kShort{300};

/// Runs the main loop until `call` has given its result.
template <typename Result>
auto Await(const std::function<void(std::function<void(Result)>)>& call)
    -> Result {
  std::optional<Result> result;
  call([&result](Result value) { result = std::move(value); });
  while (!result) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return *std::move(result);
}

auto Commit(HttpPlatformClient& client,
            const std::string& key,
            std::uint64_t version,
            Duration timeout) -> TransactionOutcome {
  return Await<TransactionOutcome>([&](auto done) {
    client.Commit({.nonce = "n",
                   .conditions = {{"t", key, version}},
                   .writes = {{"t", key, "1"}}},
                  timeout, done);
  });
}

using ReadResult = std::variant<std::optional<Row>, PlatformError>;

auto Read(HttpPlatformClient& client, const std::string& key, Duration timeout)
    -> ReadResult {
  return Await<ReadResult>(
      [&](auto done) { client.Read("t", key, timeout, done); });
}

auto IsRow(const ReadResult& result) -> bool {
  const auto* row = std::get_if<std::optional<Row>>(&result);
  return row != nullptr && row->has_value();
}

struct Fixture {
  ScratchDirectory directory;
  PlatformStandin platform{{}, this->directory.Path("platform.log")};
  HttpPlatformClient client{this->platform.Address()};
};

}  // namespace

// Guards against a lost answer that is reported as "not committed", and against
// a client or library that sends a transaction again by itself.
TEST_CASE("a commit whose answer is lost is unknown and sent once") {
  Fixture fixture;
  const bool silently = GENERATE(false, true);
  fixture.platform.SetFaults(
      {{"lose_answers", 1}, {"lose_silently", silently}});
  const TransactionOutcome outcome =
      Commit(fixture.client, "a", 0, silently ? Duration(kShort) : kLong);
  CHECK(std::holds_alternative<CommitUnknown>(outcome));
  CHECK(fixture.platform.Rows("t").size() == 1);
  CHECK(fixture.platform.Counters().at("POST table") == 1);
}

// Guards against a certain refusal that is reported as unknown, which would
// leave an entry unable to confirm its freshness.
TEST_CASE("a commit that certainly did not run is not committed") {
  Fixture fixture;
  SECTION("the store refuses it") {
    fixture.platform.SetFaults({{"store", "refuse"}});
    CHECK(std::holds_alternative<NotCommitted>(
        Commit(fixture.client, "a", 0, kLong)));
    CHECK(fixture.platform.Rows("t").empty());
  }
  SECTION("the connection is refused") {
    fixture.platform.Stop();
    CHECK(std::holds_alternative<NotCommitted>(
        Commit(fixture.client, "a", 0, kLong)));
  }
}

// Guards against a request that was lost on its way being reported as certain.
TEST_CASE("a commit on a connection that closes or hangs is unknown") {
  Fixture fixture;
  const std::string outage = GENERATE("close", "hang");
  fixture.platform.SetFaults({{"store", outage}});
  CHECK(std::holds_alternative<CommitUnknown>(
      Commit(fixture.client, "a", 0, kShort)));
  CHECK(fixture.platform.Rows("t").empty());
}

// Guards against an answer that is not JSON ending the process or counting as
// an outcome.
TEST_CASE("a malformed answer makes a commit unknown") {
  Fixture fixture;
  fixture.platform.SetFaults({{"malformed_answers", 1}});
  CHECK(std::holds_alternative<CommitUnknown>(
      Commit(fixture.client, "a", 0, kLong)));
  CHECK(fixture.platform.Rows("t").size() == 1);
}

// Guards against a slow store: the caller must not take the timeout for a
// refusal, since the transaction takes effect later.
TEST_CASE("a commit that takes effect after its timeout is unknown") {
  Fixture fixture;
  fixture.platform.SetFaults({{"store_slow_ms", 1000}});
  CHECK(std::holds_alternative<CommitUnknown>(
      Commit(fixture.client, "a", 0, kShort)));
  fixture.platform.SetFaults({{"store_slow_ms", 0}});
  CHECK(WaitUntil([&] { return fixture.platform.Rows("t").size() == 1; }));
}

// Guards against a connection that lost its state and stays silent: calls after
// the timeout must not go to it or to its idle neighbours.
TEST_CASE("calls use fresh connections after one went silent") {
  Fixture fixture;
  REQUIRE(
      std::holds_alternative<Committed>(Commit(fixture.client, "a", 0, kLong)));
  // Two reads at once leave two idle connections.
  int reads = 0;
  const auto count = [&reads](const ReadResult& result) {
    reads += IsRow(result) ? 1 : 0;
  };
  fixture.client.Read("t", "a", kLong, count);
  fixture.client.Read("t", "a", kLong, count);
  while (reads < 2) {
    g_main_context_iteration(nullptr, TRUE);
  }
  fixture.platform.SetFaults({{"silence_established", true}});
  CHECK_FALSE(IsRow(Read(fixture.client, "a", kShort)));
  CHECK(IsRow(Read(fixture.client, "a", kLong)));
}

// Guards against a lost update: of two transactions with the same condition
// exactly one may commit, and the other must see the row as it is now.
TEST_CASE("one of two racing commits gets the conflict") {
  Fixture fixture;
  const auto outcomes = Await<std::vector<TransactionOutcome>>([&](auto done) {
    const Transaction transaction{.nonce = "n",
                                  .conditions = {{"t", "a", 0}},
                                  .writes = {{"t", "a", "7"}}};
    fixture.client.CommitBatch({transaction, transaction}, kLong, done);
  });
  REQUIRE(outcomes.size() == 2);
  CHECK(std::holds_alternative<Committed>(outcomes[0]));
  REQUIRE(std::holds_alternative<Conflict>(outcomes[1]));
  CHECK(std::get<Conflict>(outcomes[1]).current.at(0).value == "7");
}

// Guards against a controller that goes on after a newer one took over.
TEST_CASE("a VM command with a stale fence certainly did not run") {
  ScratchDirectory directory;
  directory.Write("vms.json", R"({"vms":[{"id":"w","address":"127.0.0.1:1",
      "zone":"z","rack":"r"}]})");
  const PlatformStandin platform({"--vms=" + directory.Path("vms.json")},
                                 directory.Path("platform.log"));
  HttpPlatformClient client(platform.Address());
  using Result = std::variant<std::monostate, PlatformError>;
  const auto command = [&](std::uint64_t fence) -> Result {
    return Await<Result>([&](auto done) {
      client.CommandVm({VmId("w"), VmCommandKind::kReboot, fence}, kLong, done);
    });
  };
  REQUIRE(std::holds_alternative<std::monostate>(command(5)));
  const Result stale = command(4);
  REQUIRE(std::holds_alternative<PlatformError>(stale));
  CHECK(std::get<PlatformError>(stale).stale_fence);
  CHECK_FALSE(std::get<PlatformError>(stale).may_have_run);
}

// Guards against deleted rows that stay in a snapshot after an incremental
// read.
TEST_CASE("a scan after a revision names the keys deleted since") {
  Fixture fixture;
  REQUIRE(
      std::holds_alternative<Committed>(Commit(fixture.client, "a", 0, kLong)));
  const auto removed = Await<TransactionOutcome>([&](auto done) {
    fixture.client.Commit({.nonce = "n",
                           .conditions = {{"t", "a", 1}},
                           .writes = {{"t", "a", std::nullopt}}},
                          kLong, done);
  });
  REQUIRE(std::holds_alternative<Committed>(removed));
  using Result = std::variant<ScanResult, PlatformError>;
  const auto result = Await<Result>(
      [&](auto done) { fixture.client.Scan("t", 1, kLong, done); });
  REQUIRE(std::holds_alternative<ScanResult>(result));
  CHECK(std::get<ScanResult>(result).rows.empty());
  CHECK(std::get<ScanResult>(result).deleted == std::vector<std::string>{"a"});
}

// Guards against a page that misses a row, shows one twice or ends early, which
// would leave old rows in the table or edits out of the history.
TEST_CASE("pages in both directions show each row of a range once") {
  Fixture fixture;
  fixture.platform.WriteRows("t", {{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}});
  const bool descending = GENERATE(false, true);
  PageRequest request;
  request.table = "t";
  request.limit = 2;
  request.descending = descending;
  std::string keys;
  bool more = true;
  while (more) {
    using Result = std::variant<RowPage, PlatformError>;
    const auto result = Await<Result>(
        [&](auto done) { fixture.client.ReadPage(request, kLong, done); });
    const RowPage page = std::get<RowPage>(result);
    for (const Row& row : page.rows) {
      keys += row.key;
    }
    (descending ? request.below : request.above) = page.rows.back().key;
    more = page.more;
  }
  CHECK(keys == (descending ? "dcba" : "abcd"));
}

// Guards against objects of removed records that stay in the store.
TEST_CASE("a deleted object is gone") {
  Fixture fixture;
  using Done = std::variant<std::monostate, PlatformError>;
  REQUIRE(Await<Done>([&](auto done) {
            fixture.client.PutObject("answers/a b", "x", kLong, done);
          }).index() == 0);
  for (int i = 0; i < 2; ++i) {
    CHECK(Await<Done>([&](auto done) {
            fixture.client.DeleteObject("answers/a b", kLong, done);
          }).index() == 0);
  }
  using Body = std::variant<std::optional<std::string>, PlatformError>;
  const auto body = Await<Body>(
      [&](auto done) { fixture.client.GetObject("answers/a b", kLong, done); });
  CHECK_FALSE(std::get<0>(body).has_value());
}

}  // namespace fireflythread::test
