#include "fireflythread/base/stable_hash.h"

namespace fireflythread {
namespace {

/// Offset and prime of the 64-bit FNV-1a hash.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

}  // namespace

auto MixBits(std::uint64_t value) -> std::uint64_t {
  // Finalizer of SplitMix64.
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

auto StableHash(std::string_view text) -> std::uint64_t {
  std::uint64_t hash = kFnvOffset;
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return MixBits(hash);
}

}  // namespace fireflythread
