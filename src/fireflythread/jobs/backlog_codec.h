#ifndef FIREFLYTHREAD_JOBS_BACKLOG_CODEC_H_
#define FIREFLYTHREAD_JOBS_BACKLOG_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/jobs/backlog.h"

namespace fireflythread {

/// The backlog of a shard, as its owner publishes it.
struct BacklogRow {
  /// Fencing token of the owner.
  std::uint64_t fence = 0;
  Backlog backlog;
};

/// Work is rounded to milliseconds.
[[nodiscard]] auto EncodeBacklog(const BacklogRow& row) -> std::string;

/// Returns no value when the text is unreadable.
[[nodiscard]] auto DecodeBacklog(std::string_view text)
    -> std::optional<BacklogRow>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_BACKLOG_CODEC_H_
