#ifndef FIREFLYTHREAD_BENCH_COMMON_PASS_THROUGH_H_
#define FIREFLYTHREAD_BENCH_COMMON_PASS_THROUGH_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <string>

namespace fireflythread {

/// The least that a libsoup server and session can do to pass a request to a
/// backend server and its answer back: the baseline of the gateway.
class PassThrough {
 public:
  /// Listens on the loopback, on the thread's default main context.
  PassThrough(std::uint16_t backend_port, int connections);
  ~PassThrough();
  PassThrough(const PassThrough&) = delete;
  auto operator=(const PassThrough&) -> PassThrough& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t;

 private:
  static auto OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self) -> void;
  static auto OnAnswer(GObject* session, GAsyncResult* result, gpointer call)
      -> void;

  SoupServer* server;
  SoupSession* session;
  std::string backend;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BENCH_COMMON_PASS_THROUGH_H_
