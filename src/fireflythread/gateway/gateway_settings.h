#ifndef FIREFLYTHREAD_GATEWAY_GATEWAY_SETTINGS_H_
#define FIREFLYTHREAD_GATEWAY_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// What the gateway is told at start.
struct GatewaySettings {
  EntryId self;
  ZoneName zone;
  /// Where callers connect; port 0 lets the kernel choose one.
  std::string listen_ip = "127.0.0.1";
  std::uint16_t listen_port = 0;
  /// All member entries, this one included. Slots are shared between them.
  std::vector<EntryId> members;
  std::size_t max_request_bytes = std::size_t{8} * 1024 * 1024;
  /// Request line and headers together.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// Connections from callers that may be open at once.
  std::size_t max_caller_connections = 2000;
  /// Longest time for a request's body to arrive after its headers.
  Duration receive_timeout = std::chrono::seconds(10);
  std::size_t max_response_bytes = std::size_t{32} * 1024 * 1024;
  /// Requests waiting at once in one pool's queue.
  std::size_t max_queued = 2048;
  /// Repeats that may wait at once for the first request with their key. Each
  /// reads its record twice a second: 8 entries take half of the store's 2000
  /// reads a second at most.
  std::size_t max_waiting_repeats = 64;
  /// No request runs longer on a worker.
  Duration longest_request = std::chrono::seconds(30);
  /// How long one call of the platform may take.
  Duration store_timeout = std::chrono::seconds(2);
  /// Share of requests without a sampled parent that are traced (0 to 1).
  double sample_ratio = 1;
  /// This process among those of the entry; 0 in tests.
  std::uint64_t incarnation = 0;
  /// Seed of the random choices and of trace ids.
  std::uint64_t seed = 1;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_GATEWAY_SETTINGS_H_
