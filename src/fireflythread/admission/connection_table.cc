#include "fireflythread/admission/connection_table.h"

namespace fireflythread {
namespace {

using Connection = ConnectionTable::Connection;

auto IsExpired(const ConnectionTimeouts& timeouts,
               const Connection& connection,
               TimePoint now) -> bool {
  const Duration in_phase = now - connection.phase_began_at;
  const Duration stalled = now - connection.progressed_at;
  switch (connection.phase) {
    case ConnectionPhase::kFirstHead:
      return in_phase > timeouts.head;
    case ConnectionPhase::kIdle:
      return in_phase > timeouts.idle;
    case ConnectionPhase::kBody:
      return in_phase > timeouts.body || stalled > timeouts.progress;
    case ConnectionPhase::kAnswer:
      return stalled > timeouts.progress;
    case ConnectionPhase::kHandling:
      return false;
  }
  return false;
}

}  // namespace

auto AddConnection(ConnectionTable& table,
                   std::uint64_t connection,
                   TimePoint now) -> std::optional<std::uint64_t> {
  table.connections[connection] = {ConnectionPhase::kFirstHead, now, now};
  if (table.connections.size() <= table.max_connections) {
    return std::nullopt;
  }
  auto victim = table.connections.find(connection);
  for (auto each = table.connections.begin(); each != table.connections.end();
       ++each) {
    if (each->second.phase != ConnectionPhase::kHandling &&
        each->second.progressed_at < victim->second.progressed_at) {
      victim = each;
    }
  }
  const std::uint64_t closed = victim->first;
  table.connections.erase(victim);
  return closed;
}

auto NoteProgress(ConnectionTable& table,
                  std::uint64_t connection,
                  ConnectionPhase phase,
                  TimePoint now) -> void {
  const auto found = table.connections.find(connection);
  if (found == table.connections.end()) {
    return;
  }
  if (found->second.phase != phase) {
    found->second.phase = phase;
    found->second.phase_began_at = now;
  }
  found->second.progressed_at = now;
}

auto RemoveConnection(ConnectionTable& table, std::uint64_t connection)
    -> void {
  table.connections.erase(connection);
}

auto TakeExpired(ConnectionTable& table, TimePoint now)
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> expired;
  for (auto each = table.connections.begin();
       each != table.connections.end();) {
    if (IsExpired(table.timeouts, each->second, now)) {
      expired.push_back(each->first);
      each = table.connections.erase(each);
    } else {
      ++each;
    }
  }
  return expired;
}

}  // namespace fireflythread
