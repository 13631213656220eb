#include "fireflythread/telemetry/tracer.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <filesystem>
#include <nlohmann/json.hpp>

#include "fireflythread/telemetry/io_span_file.h"
#include "fireflythread/telemetry/trace_context.h"

namespace fireflythread {
namespace {

const LogIdentity kIdentity{EntryId("entry-1"), ZoneName("nelson-yard")};
constexpr char kParent[] =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

}  // namespace

// Guards against a trace that breaks in two at an entry.
TEST_CASE("a valid traceparent is kept") {
  Random random(1);
  const SpanContext context = StartTrace(kParent, 0, random);
  CHECK(context.trace_id == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(context.span_id != "00f067aa0ba902b7");
  CHECK(context.sampled);
  CHECK(ChildSpan(context, random).trace_id == context.trace_id);
}

// Guards against a sample ratio that is not kept, in either direction.
TEST_CASE("the sample ratio decides on requests without a sampled parent") {
  Random random(1);
  CHECK_FALSE(StartTrace("", 0, random).sampled);
  CHECK(StartTrace("", 1, random).sampled);
  int sampled = 0;
  for (int i = 0; i < 1000; ++i) {
    sampled += StartTrace("", 0.1, random).sampled ? 1 : 0;
  }
  CHECK(sampled > 50);
  CHECK(sampled < 150);
}

// Guards against headers that the W3C specification calls invalid.
TEST_CASE("invalid traceparent headers are refused") {
  const std::string parent = kParent;
  CHECK(ParseTraceparent(parent).has_value());
  CHECK(ParseTraceparent("01" + parent.substr(2) + "-more").has_value());
  for (const std::string& bad :
       {std::string(), parent + "-more", "ff" + parent.substr(2),
        parent.substr(0, 54), "00-" + std::string(32, '0') + parent.substr(35),
        parent.substr(0, 36) + std::string(16, '0') + "-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736" + parent.substr(35)}) {
    INFO(bad);
    CHECK_FALSE(ParseTraceparent(bad).has_value());
  }
}

// Guards against a crash on arbitrary headers and against a format that the
// parser does not read back.
TEST_CASE("traceparent survives arbitrary text and a round trip") {
  CHECK(rc::check([](const std::string& noise, std::uint64_t seed, bool flag) {
    const auto parsed = ParseTraceparent(noise);
    RC_ASSERT(!parsed.has_value());
    Random random(seed);
    const TraceContext context{MakeTraceId(random), MakeSpanId(random), flag};
    const auto again = ParseTraceparent(FormatTraceparent(context));
    RC_ASSERT(again.has_value());
    RC_ASSERT(*again == context);
  }));
}

// Guards against unbounded memory and against spans of requests that were not
// sampled.
TEST_CASE("the ring is bounded and holds only sampled spans") {
  Random random(1);
  std::vector<std::string> lines;
  Tracer tracer(kIdentity, 3, [&](std::string_view line) -> void {
    lines.emplace_back(line);
  });
  const SpanContext context = StartTrace(kParent, 1, random);
  for (int i = 0; i < 5; ++i) {
    Span span;
    span.name = std::to_string(i);
    span.attributes = {{"http.request.method", "GET"}};
    tracer.Finish(ChildSpan(context, random), span);
  }
  tracer.Finish(SpanContext{"a", "b", "", false}, Span());
  const auto spans = tracer.Find(context.trace_id);
  REQUIRE(spans.size() == 3);
  CHECK(spans[0].name == "2");
  REQUIRE(lines.size() == 5);
  const auto json = nlohmann::json::parse(lines[0]);
  CHECK(json["traceId"] == context.trace_id);
  CHECK(json["attributes"][2]["value"]["stringValue"] == "GET");
}

// Guards against a span file that fills the disk.
TEST_CASE("the span file stays below its limit") {
  const auto folder =
      std::filesystem::temp_directory_path() /
      ("fireflythread-spans-" + std::to_string(std::random_device{}()));
  std::filesystem::create_directory(folder);
  const std::string path = folder / "spans.jsonl";
  SpanFile file(path, 100);
  for (int i = 0; i < 50; ++i) {
    file.Append(std::string(30, 'x'));
  }
  file.Append(std::string(200, 'x'));
  CHECK(file.Dropped() == 1);
  CHECK(std::filesystem::file_size(path) <= 100);
  CHECK(std::filesystem::file_size(path + ".1") <= 100);
  CHECK(std::distance(std::filesystem::directory_iterator(folder), {}) == 2);
  std::filesystem::remove_all(folder);
}

}  // namespace fireflythread
