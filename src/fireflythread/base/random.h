#ifndef FIREFLYTHREAD_BASE_RANDOM_H_
#define FIREFLYTHREAD_BASE_RANDOM_H_

#include <random>

namespace fireflythread {

/// The random source handed to the core as an argument, so that a fixed seed
/// repeats a run.
using Random = std::mt19937_64;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_RANDOM_H_
