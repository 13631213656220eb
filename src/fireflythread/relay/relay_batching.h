#ifndef FIREFLYTHREAD_RELAY_RELAY_BATCHING_H_
#define FIREFLYTHREAD_RELAY_RELAY_BATCHING_H_

#include <chrono>
#include <cstddef>

namespace fireflythread {

/// Orders and answers are collected for this long, so that one message carries
/// many of them.
inline constexpr std::chrono::milliseconds kBatchDelay{2};

/// A batch with this many orders or answers is sent at once.
inline constexpr int kMaxBatchCount = 64;

/// A batch of this many bytes is sent at once, so that no batch exceeds the
/// transport's limit of 8 MiB per message. A larger message would close the
/// connection.
inline constexpr std::size_t kMaxBatchBytes = std::size_t{256} << 10;

/// An order of more bytes is not relayed but performed by the local client.
inline constexpr std::size_t kMaxOrderBytes = std::size_t{4} << 20;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_BATCHING_H_
