#include "standin/common/silent_connection.h"

#include <array>

namespace fireflythread::standin {
namespace {

constexpr gsize kBufferBytes = 4096;

struct SilentConnection {
  GIOStream* stream;
  std::array<char, kBufferBytes> buffer{};
};

auto ReadOn(SilentConnection* connection) -> void;

/// Drops the connection at its end, else goes on reading.
auto HandleRead(GObject* source, GAsyncResult* result, gpointer data) -> void {
  auto* connection = static_cast<SilentConnection*>(data);
  const gssize size =
      g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
  if (size > 0) {
    ReadOn(connection);
    return;
  }
  g_io_stream_close(connection->stream, nullptr, nullptr);
  g_object_unref(connection->stream);
  delete connection;
}

auto ReadOn(SilentConnection* connection) -> void {
  g_input_stream_read_async(g_io_stream_get_input_stream(connection->stream),
                            connection->buffer.data(),
                            connection->buffer.size(), G_PRIORITY_DEFAULT,
                            nullptr, HandleRead, connection);
}

}  // namespace

auto KeepSilentConnection(GIOStream* stream,
                          const std::string& bytes,
                          bool close) -> void {
  if (stream == nullptr) {
    return;
  }
  if (!bytes.empty()) {
    g_output_stream_write_all(g_io_stream_get_output_stream(stream),
                              bytes.data(), bytes.size(), nullptr, nullptr,
                              nullptr);
  }
  if (close) {
    g_io_stream_close(stream, nullptr, nullptr);
    g_object_unref(stream);
    return;
  }
  ReadOn(new SilentConnection{.stream = stream});
}

}  // namespace fireflythread::standin
