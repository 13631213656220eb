#ifndef FIREFLYTHREAD_CONFIG_VALIDATE_H_
#define FIREFLYTHREAD_CONFIG_VALIDATE_H_

#include <string>
#include <vector>

#include "fireflythread/config/config_fault.h"
#include "fireflythread/config/config_kind.h"
#include "fireflythread/config/fwd.h"

namespace fireflythread {

/// Every fault between the objects of a snapshot: a service without its pool
/// or profile, a service on the spare pool, a second spare pool. Sorted.
[[nodiscard]] auto ValidateSnapshot(const ConfigSnapshot& snapshot)
    -> std::vector<ConfigFault>;

/// The row keys of the objects that name this one, sorted.
[[nodiscard]] auto UsersOf(const ConfigSnapshot& snapshot,
                           ConfigKind kind,
                           const std::string& name) -> std::vector<std::string>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_VALIDATE_H_
