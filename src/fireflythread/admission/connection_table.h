#ifndef FIREFLYTHREAD_ADMISSION_CONNECTION_TABLE_H_
#define FIREFLYTHREAD_ADMISSION_CONNECTION_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// What a server waits for on a connection.
enum class ConnectionPhase : std::uint8_t {
  /// The head of the first request.
  kFirstHead,
  /// The head of a further request.
  kIdle,
  kBody,
  /// The server's own work on a request.
  kHandling,
  /// The client's reading of the answer.
  kAnswer
};

/// How long a server waits for a client.
struct ConnectionTimeouts {
  /// For the head of the first request.
  std::chrono::milliseconds head{15000};
  /// For the head of a further one. Clients may keep connections that long.
  std::chrono::milliseconds idle{60000};
  /// For a further part of a body, or of the reading of an answer.
  std::chrono::milliseconds progress{15000};
  /// For a whole body.
  std::chrono::milliseconds body{30000};
};

/// The connections of a listener.
struct ConnectionTable {
  struct Connection {
    ConnectionPhase phase = ConnectionPhase::kFirstHead;
    TimePoint phase_began_at;
    TimePoint progressed_at;
  };

  std::size_t max_connections = 0;
  ConnectionTimeouts timeouts;
  std::map<std::uint64_t, Connection> connections;
};

/// Adds a connection. Returns the one that must be closed if there are too
/// many: of those on which the server waits for the client, the one without
/// progress for the longest time. It is the new one if the server works on all
/// others. The connection that is returned is removed.
[[nodiscard]] auto AddConnection(ConnectionTable& table,
                                 std::uint64_t connection,
                                 TimePoint now) -> std::optional<std::uint64_t>;

/// Notes that a connection has entered a phase, or has made progress in it.
/// Does nothing for one that was removed.
auto NoteProgress(ConnectionTable& table,
                  std::uint64_t connection,
                  ConnectionPhase phase,
                  TimePoint now) -> void;

auto RemoveConnection(ConnectionTable& table, std::uint64_t connection) -> void;

/// Removes and returns the connections whose client takes too long.
[[nodiscard]] auto TakeExpired(ConnectionTable& table, TimePoint now)
    -> std::vector<std::uint64_t>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_CONNECTION_TABLE_H_
