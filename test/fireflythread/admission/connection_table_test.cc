#include "fireflythread/admission/connection_table.h"

#include <catch2/catch.hpp>

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("A crowd of silent connections does not keep others out",
          "[admission]") {
  // Guards against an entry that accepts nothing more, or runs out of
  // descriptors, as clients connect and send nothing or half a head.
  ConnectionTable table;
  table.max_connections = 100;
  TimePoint now = kStart;
  for (std::uint64_t client = 0; client < 100; ++client) {
    now += milliseconds(1);
    CHECK_FALSE(AddConnection(table, client, now).has_value());
  }
  now += milliseconds(1);
  CHECK(AddConnection(table, 500, now) == std::uint64_t{0});
  CHECK(table.connections.size() == 100);
  CHECK(table.connections.contains(500));
}

TEST_CASE("A request that the server works on keeps its connection",
          "[admission]") {
  // Guards against an accepted job whose caller gets no answer because of a
  // crowd that came later.
  ConnectionTable table;
  table.max_connections = 2;
  CHECK_FALSE(AddConnection(table, 1, kStart).has_value());
  CHECK_FALSE(AddConnection(table, 2, kStart + milliseconds(1)).has_value());
  NoteProgress(table, 1, ConnectionPhase::kHandling, kStart + milliseconds(2));
  CHECK(AddConnection(table, 3, kStart + seconds(9)) == std::uint64_t{2});
  NoteProgress(table, 3, ConnectionPhase::kHandling, kStart + seconds(9));
  CHECK(AddConnection(table, 4, kStart + seconds(10)) == std::uint64_t{4});
}

TEST_CASE("Clients that take too long lose their connections", "[admission]") {
  ConnectionTable table;
  table.max_connections = 10;
  for (std::uint64_t client = 1; client <= 5; ++client) {
    CHECK_FALSE(AddConnection(table, client, kStart).has_value());
  }
  NoteProgress(table, 2, ConnectionPhase::kIdle, kStart);
  NoteProgress(table, 3, ConnectionPhase::kBody, kStart);
  NoteProgress(table, 4, ConnectionPhase::kHandling, kStart);
  NoteProgress(table, 5, ConnectionPhase::kAnswer, kStart);
  CHECK(TakeExpired(table, kStart + seconds(15)).empty());
  CHECK(TakeExpired(table, kStart + seconds(16)) ==
        std::vector<std::uint64_t>{1, 3, 5});
  CHECK(TakeExpired(table, kStart + seconds(61)) ==
        std::vector<std::uint64_t>{2});
  CHECK(table.connections.size() == 1);
}

TEST_CASE("A body that trickles in is not waited for without end",
          "[admission]") {
  // Guards against a client that sends a byte now and then for hours.
  ConnectionTable table;
  table.max_connections = 10;
  CHECK_FALSE(AddConnection(table, 1, kStart).has_value());
  TimePoint now = kStart;
  for (int piece = 0; piece < 30; ++piece) {
    NoteProgress(table, 1, ConnectionPhase::kBody, now);
    now += seconds(1);
    CHECK(TakeExpired(table, now).empty());
  }
  now += seconds(1);
  CHECK(TakeExpired(table, now) == std::vector<std::uint64_t>{1});
}

}  // namespace
}  // namespace fireflythread::test
