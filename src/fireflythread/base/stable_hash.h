#ifndef FIREFLYTHREAD_BASE_STABLE_HASH_H_
#define FIREFLYTHREAD_BASE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace fireflythread {

/// Returns a hash of `text` that is the same in every process, on every
/// processor and in every version: stored data may depend on it.
[[nodiscard]] auto StableHash(std::string_view text) -> std::uint64_t;

/// Mixes the bits of a value: each input bit changes half of the output bits on
/// average.
[[nodiscard]] auto MixBits(std::uint64_t value) -> std::uint64_t;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_STABLE_HASH_H_
