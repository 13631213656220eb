#ifndef TEST_PLATFORM_SLOW_SERVER_H_
#define TEST_PLATFORM_SLOW_SERVER_H_

#include <gio/gio.h>
#include <glib.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace fireflythread::test {

/// Accepts one connection at a time and sends its answer in small parts, like a
/// store behind a slow link.
class SlowServer {
 public:
  /// Time between two parts of the answer.
  static constexpr std::chrono::milliseconds kPartInterval{100};

  /// The answer announces the whole length of `body`, but only its first
  /// `bytes` bytes are sent, one in each part.
  SlowServer(std::string body, std::size_t bytes);
  ~SlowServer();
  SlowServer(const SlowServer&) = delete;
  auto operator=(const SlowServer&) -> SlowServer& = delete;

  /// "IP:PORT".
  [[nodiscard]] auto Address() const -> std::string;

 private:
  static auto OnIncoming(GSocketService* service,
                         GSocketConnection* accepted,
                         GObject* source,
                         gpointer data) -> gboolean;
  static auto SendNextPart(gpointer data) -> gboolean;
  auto Write(const std::string& text) -> void;

  std::string body;
  std::size_t bytes;
  std::size_t sent = 0;
  guint16 port = 0;
  guint timer = 0;
  GSocketService* service;
  GSocketConnection* connection = nullptr;
};

}  // namespace fireflythread::test

#endif  // TEST_PLATFORM_SLOW_SERVER_H_
