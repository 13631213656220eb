#include "fireflythread/relay/io_relay_node.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "test/fireflythread/relay/fake_workers.h"
#include "test/fireflythread/relay/run_until.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than any of these tests, so that no order times out.
constexpr Duration kLongTimeout = seconds(60);

/// An entry that listens on a free loopback port and has its own fake workers.
struct Entry {
  explicit Entry(const char* name, std::uint64_t incarnation = 1)
      : id(name), own_incarnation(incarnation) {
    REQUIRE(this->node.Open("127.0.0.1:0") == std::nullopt);
  }

  [[nodiscard]] auto AsCandidate() const -> RelayCandidate {
    RelayCandidate candidate;
    candidate.entry = this->id;
    candidate.incarnation = this->own_incarnation;
    candidate.address = this->node.Address();
    candidate.alive = true;
    return candidate;
  }

  /// Returns how often the entry logged the event.
  [[nodiscard]] auto CountLogged(const std::string& event) const -> int {
    int count = 0;
    for (const std::string& line : this->lines) {
      count += line.find('"' + event + '"') == std::string::npos ? 0 : 1;
    }
    return count;
  }

  EntryId id;
  std::uint64_t own_incarnation;
  std::vector<std::string> lines;
  Logger logger{
      {EntryId("test"), ZoneName("test")},
      LogLevel::kDebug,
      [this](std::string_view line) { this->lines.emplace_back(line); },
      [] { return WallTime(); }};
  MetricsRegistry metrics;
  FakeWorkers workers;
  RelayNode node{this->id, this->own_incarnation, this->workers, this->logger,
                 this->metrics};
};

/// Sets the relay peers of the owner and waits until all of them are open.
auto Link(Entry& owner, const std::vector<Entry*>& relay_peers) -> void {
  std::vector<RelayCandidate> candidates;
  for (const Entry* relay_peer : relay_peers) {
    candidates.push_back(relay_peer->AsCandidate());
  }
  const int opened = owner.CountLogged("relay_path_opened");
  owner.node.SetEntries(candidates, true);
  REQUIRE(RunUntil([&] {
    return owner.CountLogged("relay_path_opened") - opened ==
           static_cast<int>(relay_peers.size());
  }));
}

auto StartOf(const std::string& worker) -> StartCommand {
  StartCommand start;
  start.worker = WorkerId(worker);
  start.task.job = JobId("job");
  return start;
}

/// The replies that the owner received, by the id of the order's worker.
using Replies = std::map<std::string, std::vector<OrderReply>>;

auto SendStart(Entry& owner,
               const std::string& worker,
               Duration timeout,
               Replies& replies) -> void {
  owner.node.Workers().Start(StartOf(worker), timeout,
                             [worker, &replies](OrderReply reply) {
                               replies[worker].push_back(std::move(reply));
                             });
}

}  // namespace

// Guards against an owner whose main loop is busy with calls to workers:
// without the relay, the owner would send all 300 orders itself.
TEST_CASE("An owner with relay peers sends no order itself", "[relay]") {
  Entry owner("owner");
  Entry first("first");
  Entry second("second");
  Link(owner, {&first, &second});
  constexpr int kWorkers = 100;
  int done = 0;
  int reports = 0;
  int stopped = 0;
  for (int i = 0; i < kWorkers; ++i) {
    const std::string worker = "i-" + std::to_string(i);
    WorkerClient& client = owner.node.Workers();
    client.Start(StartOf(worker), kLongTimeout, [&](const OrderReply& reply) {
      done += reply.verdict == OrderVerdict::kDone &&
                      reply.clock == milliseconds(7) &&
                      reply.reason == "as told"
                  ? 1
                  : 0;
    });
    PollCommand poll;
    poll.worker = WorkerId(worker);
    client.Poll(poll, kLongTimeout, [&](const OrderResult& result) {
      const auto* report = std::get_if<WorkerReport>(&result);
      reports += report != nullptr && report->clock == milliseconds(8) ? 1 : 0;
    });
    StopCommand stop;
    stop.worker = WorkerId(worker);
    client.Stop(stop, kLongTimeout, [&](const OrderReply& reply) {
      stopped += reply.verdict == OrderVerdict::kOldRun ? 1 : 0;
    });
  }
  CHECK(RunUntil([&] { return done + reports + stopped == 3 * kWorkers; },
                 [&] {
                   owner.workers.AnswerAll();
                   first.workers.AnswerAll();
                   second.workers.AnswerAll();
                 }));
  CHECK(owner.workers.called.empty());
  CHECK(first.workers.called.size() + second.workers.called.size() ==
        3 * kWorkers);
  // All orders to a worker go through the same relay peer, which can reuse its
  // connection.
  std::set<WorkerId> of_first(first.workers.called.begin(),
                              first.workers.called.end());
  std::set<WorkerId> of_second(second.workers.called.begin(),
                               second.workers.called.end());
  CHECK_FALSE(of_first.empty());
  CHECK_FALSE(of_second.empty());
  CHECK(of_first.size() + of_second.size() == kWorkers);
}

// Guards against a run that starts twice because its order is sent again, and
// against an owner that waits forever for the reply.
TEST_CASE("An order whose relay peer ends is unknown and not sent again",
          "[relay]") {
  Entry owner("owner");
  auto relay_peer = std::make_unique<Entry>("helper");
  Link(owner, {relay_peer.get()});
  Replies replies;
  SendStart(owner, "lost", milliseconds(500), replies);
  REQUIRE(RunUntil([&] { return relay_peer->workers.called.size() == 1; }));
  relay_peer.reset();
  REQUIRE(RunUntil([&] { return !replies["lost"].empty(); }));
  CHECK(replies["lost"][0].verdict == OrderVerdict::kUnknown);
  // The relay peer is closed now, so the next order is sent locally.
  SendStart(owner, "next", kLongTimeout, replies);
  REQUIRE(RunUntil([&] { return !replies["next"].empty(); },
                   [&] { owner.workers.AnswerAll(); }));
  CHECK(replies["next"][0].verdict == OrderVerdict::kDone);
  CHECK(owner.workers.called == std::vector<WorkerId>{WorkerId("next")});
  CHECK(replies["lost"].size() == 1);
}

// Guards against orders that wait for a relay peer that is known to have ended.
TEST_CASE("Orders that do not leave the process are sent locally at once",
          "[relay]") {
  Entry owner("owner");
  auto relay_peer = std::make_unique<Entry>("helper");
  Link(owner, {relay_peer.get()});
  relay_peer.reset();
  Replies replies;
  int sent = 0;
  // Orders are lost until the transport detects that the connection is closed.
  REQUIRE(RunUntil([&] { return owner.CountLogged("no connection") == 1; },
                   [&] {
                     SendStart(owner, "i-" + std::to_string(++sent),
                               kLongTimeout, replies);
                   }));
  REQUIRE_FALSE(owner.workers.called.empty());
  owner.workers.AnswerAll();
  for (const WorkerId& worker : owner.workers.called) {
    CHECK(replies[worker.value].size() == 1);
  }
  CHECK(replies.size() == owner.workers.called.size());
}

// Guards against orders that are never sent because there is only one entry, or
// because no relay peer has answered yet.
TEST_CASE("Orders are sent locally if there is no relay peer", "[relay]") {
  Entry owner("owner");
  Replies replies;
  SendStart(owner, "i-1", kLongTimeout, replies);
  CHECK(owner.workers.called.size() == 1);
  RelayCandidate gone;
  gone.entry = EntryId("gone");
  gone.incarnation = 1;
  gone.address = "127.0.0.1:1";
  gone.alive = true;
  owner.node.SetEntries({gone}, true);
  SendStart(owner, "i-2", kLongTimeout, replies);
  CHECK(owner.workers.called.size() == 2);
  owner.workers.AnswerAll();
  CHECK(replies["i-1"].size() == 1);
  CHECK(replies["i-2"].size() == 1);
}

// Guards against pace orders to a relay peer of an earlier version, which does
// not know them.
TEST_CASE("Pace orders are sent locally beside a relay peer", "[relay]") {
  Entry owner("owner");
  Entry relay_peer("helper");
  Link(owner, {&relay_peer});
  int replies = 0;
  PaceCommand pace;
  pace.worker = WorkerId("i-1");
  owner.node.Workers().SetPace(pace, kLongTimeout,
                               [&](const OrderReply& reply) {
                                 CHECK(reply.verdict == OrderVerdict::kDone);
                                 ++replies;
                               });
  CHECK(owner.workers.called == std::vector<WorkerId>{WorkerId("i-1")});
  owner.workers.AnswerAll();
  CHECK(replies == 1);
  CHECK(relay_peer.workers.called.empty());
}

// Guards against orders that are lost in a planned restart of their relay peer.
TEST_CASE("A stopping relay peer performs accepted orders and returns new ones",
          "[relay]") {
  Entry owner("owner");
  Entry relay_peer("helper");
  Link(owner, {&relay_peer});
  Replies replies;
  SendStart(owner, "taken", kLongTimeout, replies);
  REQUIRE(RunUntil([&] { return relay_peer.workers.called.size() == 1; }));
  relay_peer.node.Leave();
  CHECK_FALSE(relay_peer.node.IsIdle());
  // The owner does not know yet that the relay peer is stopping, so this order
  // still reaches it.
  SendStart(owner, "refused", kLongTimeout, replies);
  REQUIRE(RunUntil([&] { return !owner.workers.called.empty(); }));
  relay_peer.workers.AnswerAll();
  owner.workers.AnswerAll();
  REQUIRE(RunUntil([&] { return !replies["taken"].empty(); }));
  REQUIRE(RunUntil([&] { return relay_peer.node.IsIdle(); }));
  CHECK(replies["taken"].size() == 1);
  CHECK(replies["taken"][0].verdict == OrderVerdict::kDone);
  CHECK(replies["refused"].size() == 1);
  CHECK(replies["refused"][0].verdict == OrderVerdict::kDone);
  CHECK(relay_peer.workers.called.size() == 1);
  SendStart(owner, "later", kLongTimeout, replies);
  CHECK(owner.workers.called.size() == 2);
}

// Guards against a worker that is considered gone because its relay peer is
// slow: the second start order waits 250 ms for the call of the first one.
TEST_CASE("The owner performs an order that a relay peer queued for too long",
          "[relay]") {
  Entry owner("owner");
  Entry relay_peer("helper");
  Link(owner, {&relay_peer});
  relay_peer.workers.start_cost = milliseconds(250);
  Replies replies;
  SendStart(owner, "first", kLongTimeout, replies);
  SendStart(owner, "second", kLongTimeout, replies);
  REQUIRE(RunUntil([&] { return !replies["second"].empty(); },
                   [&] {
                     owner.workers.AnswerAll();
                     relay_peer.workers.AnswerAll();
                   }));
  CHECK(replies["second"].size() == 1);
  CHECK(replies["second"][0].verdict == OrderVerdict::kDone);
  REQUIRE_FALSE(owner.workers.called.empty());
  CHECK(owner.workers.called.back() == WorkerId("second"));
  CHECK(owner.CountLogged("relay_path_busy") == 1);
}

// Guards against a callback that runs a second time when the reply arrives
// after the timeout.
TEST_CASE("A late reply is ignored", "[relay]") {
  Entry owner("owner");
  Entry relay_peer("helper");
  Link(owner, {&relay_peer});
  Replies replies;
  SendStart(owner, "late", milliseconds(50), replies);
  SendStart(owner, "patient", kLongTimeout, replies);
  REQUIRE(RunUntil([&] { return relay_peer.workers.open.size() == 2; }));
  REQUIRE(RunUntil([&] { return !replies["late"].empty(); }));
  CHECK(replies["late"][0].verdict == OrderVerdict::kUnknown);
  relay_peer.workers.AnswerAll();
  REQUIRE(RunUntil([&] { return !replies["patient"].empty(); }));
  CHECK(replies["late"].size() == 1);
  CHECK(owner.workers.called.empty());
}

// Guards against closing a connection that the other direction still needs:
// both entries own a shard and relay orders for each other.
TEST_CASE("A connection stays open while the other entry uses it", "[relay]") {
  Entry first("first");
  Entry second("second");
  Link(first, {&second});
  Link(second, {&first});
  first.node.SetEntries({}, false);
  REQUIRE(
      RunUntil([&] { return first.CountLogged("relay_path_closed") == 1; }));
  Replies replies;
  SendStart(second, "i-1", kLongTimeout, replies);
  CHECK(RunUntil([&] { return !replies["i-1"].empty(); },
                 [&] { first.workers.AnswerAll(); }));
  CHECK(second.workers.called.empty());
}

// Guards against a restarted relay peer that is never used again, and against
// one that is used before it knows the owner.
TEST_CASE("A relay peer is used again after a restart", "[relay]") {
  Entry owner("owner");
  auto relay_peer = std::make_unique<Entry>("helper", 1);
  Link(owner, {relay_peer.get()});
  relay_peer = std::make_unique<Entry>("helper", 2);
  Link(owner, {relay_peer.get()});
  Replies replies;
  SendStart(owner, "i-1", kLongTimeout, replies);
  CHECK(RunUntil([&] { return !replies["i-1"].empty(); },
                 [&] { relay_peer->workers.AnswerAll(); }));
  CHECK(relay_peer->workers.called.size() == 1);
  CHECK(owner.workers.called.empty());
}

}  // namespace fireflythread::test
