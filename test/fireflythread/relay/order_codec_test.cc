#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "fireflythread/relay/io_order_codec.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

auto Text() -> std::string {
  return *rc::gen::arbitrary<std::string>();
}

auto Number() -> std::uint64_t {
  return *rc::gen::arbitrary<std::uint64_t>();
}

auto Int() -> int {
  return *rc::gen::arbitrary<int>();
}

auto Time() -> milliseconds {
  return milliseconds(*rc::gen::arbitrary<std::int64_t>());
}

auto Timeout() -> Duration {
  return Duration(*rc::gen::arbitrary<std::int64_t>());
}

auto MaybeTime() -> std::optional<milliseconds> {
  return *rc::gen::arbitrary<bool>() ? std::optional(Time()) : std::nullopt;
}

auto Task() -> TaskName {
  return {JobId(Text()), Int(), Int(), Int()};
}

/// Serializes and parses the message. Texts may contain arbitrary bytes, which
/// would fail here if the fields had the protobuf type `string`.
template <typename Message>
auto Transmit(const Message& message) -> Message {
  Message received;
  RC_ASSERT(received.ParseFromString(message.SerializeAsString()));
  return received;
}

auto Transmit(const WorkerOrder& order) -> WorkerOrder {
  peer::RelayedOrder message;
  EncodeOrder(order, message);
  const auto decoded = DecodeOrder(Transmit(message));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->timeout == order.timeout);
  return *decoded;
}

auto Transmit(const OrderResult& result) -> OrderResult {
  peer::RelayedAnswer message;
  EncodeResult(result, message);
  return DecodeResult(Transmit(message));
}

auto CheckSame(const RunningRun& run, const RunningRun& sent) -> void {
  RC_ASSERT(run.task == sent.task);
  RC_ASSERT(run.run == sent.run);
  RC_ASSERT(run.checkpoint == sent.checkpoint);
  RC_ASSERT(run.percent == sent.percent);
  RC_ASSERT(run.usage == sent.usage);
}

auto CheckSame(const RunCompletion& run, const RunCompletion& sent) -> void {
  RC_ASSERT(run.number == sent.number);
  RC_ASSERT(run.task == sent.task);
  RC_ASSERT(run.run == sent.run);
  RC_ASSERT(run.end == sent.end);
  RC_ASSERT(run.checkpoint == sent.checkpoint);
}

}  // namespace

// Guards against a member of an order that is lost on its way to a relay peer.
TEST_CASE("Orders are unchanged after encoding and decoding") {
  CHECK(rc::check("start", [] {
    const StartCommand sent{WorkerId(Text()), Text(),   Task(), Int(), Text(),
                            Time(),           Number(), Text(), Text()};
    const WorkerOrder order = Transmit(WorkerOrder{sent, Timeout()});
    const auto& start = std::get<StartCommand>(order.command);
    RC_ASSERT(start.worker == sent.worker);
    RC_ASSERT(start.address == sent.address);
    RC_ASSERT(start.task == sent.task);
    RC_ASSERT(start.run == sent.run);
    RC_ASSERT(start.spec == sent.spec);
    RC_ASSERT(start.deadline == sent.deadline);
    RC_ASSERT(start.fence == sent.fence);
    RC_ASSERT(start.checkpoint == sent.checkpoint);
    RC_ASSERT(start.ticket == sent.ticket);
  }));
  CHECK(rc::check("stop", [] {
    const StopCommand sent{WorkerId(Text()), Text(), Task(), Int(), Number()};
    const WorkerOrder order = Transmit(WorkerOrder{sent, Timeout()});
    const auto& stop = std::get<StopCommand>(order.command);
    RC_ASSERT(stop.worker == sent.worker);
    RC_ASSERT(stop.address == sent.address);
    RC_ASSERT(stop.task == sent.task);
    RC_ASSERT(stop.run == sent.run);
    RC_ASSERT(stop.fence == sent.fence);
  }));
  CHECK(rc::check("hold", [] {
    const PollCommand sent{WorkerId(Text()), Text(),      Number(),
                           Number(),         MaybeTime(), Time()};
    const WorkerOrder order = Transmit(WorkerOrder{sent, Timeout()});
    const auto& poll = std::get<PollCommand>(order.command);
    RC_ASSERT(poll.worker == sent.worker);
    RC_ASSERT(poll.address == sent.address);
    RC_ASSERT(poll.fence == sent.fence);
    RC_ASSERT(poll.last_seen == sent.last_seen);
    RC_ASSERT(poll.deadline == sent.deadline);
    RC_ASSERT(poll.wait == sent.wait);
  }));
}

// Guards against a verdict, a reason or a run that is altered on its way back
// to the owner.
TEST_CASE("Replies and reports are unchanged after encoding and decoding") {
  CHECK(rc::check("reply", [] {
    const OrderReply sent{static_cast<OrderVerdict>(*rc::gen::inRange(
                              0, static_cast<int>(OrderVerdict::kNotSent) + 1)),
                          MaybeTime(), Text()};
    const OrderResult result = Transmit(OrderResult(sent));
    const auto& reply = std::get<OrderReply>(result);
    RC_ASSERT(reply.verdict == sent.verdict);
    RC_ASSERT(reply.clock == sent.clock);
    RC_ASSERT(reply.reason == sent.reason);
  }));
  CHECK(rc::check("report", [] {
    WorkerReport sent;
    sent.clock = Time();
    sent.started_at = Time();
    sent.complete = *rc::gen::arbitrary<bool>();
    for (int remaining = *rc::gen::inRange(0, 5); remaining > 0; --remaining) {
      sent.running.push_back(
          {Task(), Int(), Text(), Int(), *rc::gen::arbitrary<std::int64_t>()});
    }
    for (int remaining = *rc::gen::inRange(0, 5); remaining > 0; --remaining) {
      sent.ended.push_back(
          {Number(), Task(), Int(),
           static_cast<RunResult>(*rc::gen::inRange(
               0, static_cast<int>(RunResult::kGangIncomplete) + 1)),
           Text()});
    }
    const OrderResult result = Transmit(OrderResult(sent));
    const auto& report = std::get<WorkerReport>(result);
    RC_ASSERT(report.clock == sent.clock);
    RC_ASSERT(report.started_at == sent.started_at);
    RC_ASSERT(report.complete == sent.complete);
    RC_ASSERT(report.running.size() == sent.running.size());
    for (std::size_t i = 0; i < sent.running.size(); ++i) {
      CheckSame(report.running[i], sent.running[i]);
    }
    RC_ASSERT(report.ended.size() == sent.ended.size());
    for (std::size_t i = 0; i < sent.ended.size(); ++i) {
      CheckSame(report.ended[i], sent.ended[i]);
    }
  }));
}

// Guards against misinterpreting a message of a newer version, for example
// treating an order that may have been performed as one that was not.
TEST_CASE("Unsupported orders are rejected, unsupported results are unknown") {
  CHECK_FALSE(DecodeOrder(peer::RelayedOrder()).has_value());
  peer::RelayedAnswer answer;
  CHECK(std::get<OrderReply>(DecodeResult(answer)).verdict ==
        OrderVerdict::kUnknown);
  answer.mutable_reply()->set_verdict(1000);
  CHECK(std::get<OrderReply>(DecodeResult(answer)).verdict ==
        OrderVerdict::kUnknown);
  answer.mutable_report()->add_ended()->set_end(1000);
  CHECK(std::get<OrderReply>(DecodeResult(answer)).verdict ==
        OrderVerdict::kUnknown);
}

}  // namespace fireflythread::test
