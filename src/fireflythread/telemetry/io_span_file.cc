#include "fireflythread/telemetry/io_span_file.h"

#include <fmt/format.h>

#include <utility>

namespace fireflythread {

SpanFile::SpanFile(std::string file_path, std::int64_t limit)
    : path(std::move(file_path)), limit_bytes(limit) {
  this->Open();
}

auto SpanFile::CloseFile::operator()(std::FILE* stream) const -> void {
  std::fclose(stream);
}

auto SpanFile::Open() -> void {
  this->file.reset(std::fopen(this->path.c_str(), "ae"));
  this->written = 0;
  if (this->file) {
    std::fseek(this->file.get(), 0, SEEK_END);
    this->written = std::ftell(this->file.get());
  }
}

auto SpanFile::Rotate() -> void {
  this->file.reset();
  const std::string older = this->path + ".1";
  if (std::rename(this->path.c_str(), older.c_str()) != 0) {
    // Without the rename the file would grow past its limit.
    std::remove(this->path.c_str());
  }
  this->Open();
}

auto SpanFile::Append(std::string_view line) -> void {
  const std::string text = fmt::format("{}\n", line);
  const auto length = static_cast<std::int64_t>(text.size());
  if (this->written > 0 && this->written + length > this->limit_bytes) {
    this->Rotate();
  }
  if (!this->file) {
    this->Open();
  }
  const bool is_written = this->file && length <= this->limit_bytes &&
                          std::fwrite(text.data(), 1, text.size(),
                                      this->file.get()) == text.size() &&
                          std::fflush(this->file.get()) == 0;
  if (is_written) {
    this->written += length;
  } else {
    ++this->dropped;
  }
}

auto SpanFile::Dropped() const -> std::uint64_t {
  return this->dropped;
}

}  // namespace fireflythread
