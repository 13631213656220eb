#ifndef FIREFLYTHREAD_FLEET_DELETED_ROW_H_
#define FIREFLYTHREAD_FLEET_DELETED_ROW_H_

#include <cstdint>
#include <string>

namespace fireflythread {

/// A key whose row is known to be absent as of a table revision.
struct DeletedRow {
  std::string key;
  std::uint64_t revision = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_DELETED_ROW_H_
