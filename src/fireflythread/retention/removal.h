#ifndef FIREFLYTHREAD_RETENTION_REMOVAL_H_
#define FIREFLYTHREAD_RETENTION_REMOVAL_H_

#include <string>
#include <vector>

#include "fireflythread/platform/transaction.h"

namespace fireflythread {

/// One row to remove. Its objects are deleted first, so that none is left
/// without a row that names it.
struct Removal {
  std::vector<std::string> objects;
  Transaction transaction;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETENTION_REMOVAL_H_
