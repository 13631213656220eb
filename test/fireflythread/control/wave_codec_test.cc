#include "fireflythread/control/wave_codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "fireflythread/platform/row.h"

namespace fireflythread {

// Guards against a row that loses the finished VMs of a wave, so that the next
// controller reboots them again.
TEST_CASE("a wave record is equal after encoding and decoding") {
  WaveRecord wave;
  wave.id = WaveId("2026-01");
  wave.version = 12;
  wave.state = WaveState::kRunning;
  wave.declared_by = "ana";
  wave.declared_at_ms = 1'700'000'000'000;
  wave.remaining = {VmId("a"), VmId("b")};
  wave.done = {VmId("c")};
  wave.failed = {VmId("d")};
  const std::string text = GENERATE("all", "zone=nelson-yard", "rack=r1",
                                    "pool=counter-desk", "vms=a,b,c");
  wave.selector = ParseWaveSelector(text).value();
  CHECK(FormatWaveSelector(wave.selector) == text);
  const auto decoded =
      DecodeWaveRecord({"wave", "2026-01", 12, EncodeWaveRecord(wave)});
  REQUIRE(std::holds_alternative<WaveRecord>(decoded));
  CHECK(std::get<WaveRecord>(decoded) == wave);
}

// Guards against a mistyped selector that selects the whole fleet, and against
// a malformed row that stops the controller.
TEST_CASE("unknown selectors and malformed wave rows are errors") {
  for (const char* text :
       {"", "al", "all=x", "zone", "zone=", "vms=", "vms=,", "host=a"}) {
    CHECK_FALSE(ParseWaveSelector(text).has_value());
  }
  for (const char* value :
       {"", "{}", R"({"selector":"all"})",
        R"({"selector":"all","state":"paused"})",
        R"({"selector":"all","state":"running","done":[1]})"}) {
    CHECK(std::holds_alternative<RowError>(
        DecodeWaveRecord({"wave", "w", 1, value})));
  }
}

}  // namespace fireflythread
