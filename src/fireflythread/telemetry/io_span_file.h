#ifndef FIREFLYTHREAD_TELEMETRY_IO_SPAN_FILE_H_
#define FIREFLYTHREAD_TELEMETRY_IO_SPAN_FILE_H_

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

namespace fireflythread {

/// Appends lines to a file. A file that reaches its limit is renamed to
/// `NAME.1`, which replaces the one before, so at most twice the limit is kept.
/// A line that cannot be written is dropped and counted: spans are an aid and
/// never stop a request.
class SpanFile {
 public:
  SpanFile(std::string path, std::int64_t limit_bytes);

  auto Append(std::string_view line) -> void;

  [[nodiscard]] auto Dropped() const -> std::uint64_t;

 private:
  struct CloseFile {
    auto operator()(std::FILE* stream) const -> void;
  };

  auto Open() -> void;
  auto Rotate() -> void;

  std::string path;
  std::int64_t limit_bytes;
  std::int64_t written = 0;
  std::uint64_t dropped = 0;
  std::unique_ptr<std::FILE, CloseFile> file;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_IO_SPAN_FILE_H_
