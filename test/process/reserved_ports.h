#ifndef TEST_PROCESS_RESERVED_PORTS_H_
#define TEST_PROCESS_RESERVED_PORTS_H_

#include <cstddef>
#include <vector>

namespace fireflythread::test {

/// Free ports of the loopback address from the kernel, kept for the programs
/// of this test: the sockets stay bound without listening, so the kernel gives
/// the ports to nobody else, while a program that sets SO_REUSEADDR, as the
/// daemon's listeners do, may listen on them. Without that, tests that run side
/// by side take each other's ports before the daemons listen.
class ReservedPorts {
 public:
  explicit ReservedPorts(std::size_t count);
  ~ReservedPorts();
  ReservedPorts(const ReservedPorts&) = delete;
  auto operator=(const ReservedPorts&) -> ReservedPorts& = delete;

  [[nodiscard]] auto Ports() const -> const std::vector<int>& {
    return this->ports;
  }

 private:
  std::vector<int> sockets;
  std::vector<int> ports;
};

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_RESERVED_PORTS_H_
