#ifndef FIREFLYTHREAD_GATEWAY_START_RESULT_H_
#define FIREFLYTHREAD_GATEWAY_START_RESULT_H_

#include <cstdint>
#include <string>
#include <variant>

namespace fireflythread {

/// The listener is bound to this port.
struct BoundPort {
  std::uint16_t port = 0;
};

/// The listener could not be bound.
struct StartError {
  std::string reason;
};

using StartResult = std::variant<BoundPort, StartError>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_START_RESULT_H_
