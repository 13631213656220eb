#ifndef FIREFLYTHREAD_BENCH_COMMON_HTTP_LOAD_H_
#define FIREFLYTHREAD_BENCH_COMMON_HTTP_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace fireflythread {

/// A server on a thread of its own that answers each request at once with a
/// short fixed response. Requests must have no body.
class FixedServer {
 public:
  FixedServer();
  ~FixedServer();
  FixedServer(const FixedServer&) = delete;
  auto operator=(const FixedServer&) -> FixedServer& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t { return this->port; }

 private:
  auto Run() -> void;

  int listener;
  int poller;
  int stop_event;
  std::uint16_t port = 0;
  std::thread thread;
};

/// Sends `count` requests over `connections` connections, each with one
/// request at a time, and gives the time of each answer, sorted. A request
/// that is not answered with 200 makes the list shorter.
[[nodiscard]] auto SendLoad(std::uint16_t port,
                            const std::string& request,
                            int connections,
                            int count) -> std::vector<std::chrono::nanoseconds>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BENCH_COMMON_HTTP_LOAD_H_
