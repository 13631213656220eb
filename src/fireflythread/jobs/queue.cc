#include "fireflythread/jobs/queue.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <utility>

#include "fireflythread/base/stable_hash.h"

namespace fireflythread {
namespace {

/// Maximum length of an identity, in bytes. A key of the store holds 200; some
/// keys append a version.
constexpr std::size_t kMaxIdLength = 160;

/// Length of a hash, in hexadecimal digits.
constexpr std::size_t kHashLength = 16;

}  // namespace

auto IdOf(const Queue& queue) -> QueueId {
  std::string id = queue.host + queue.path_prefix;
  if (id.size() > kMaxIdLength) {
    const std::uint64_t hash = StableHash(id);
    id.resize(kMaxIdLength - kHashLength);
    id += fmt::format("{:016x}", hash);
  }
  return QueueId(std::move(id));
}

}  // namespace fireflythread
