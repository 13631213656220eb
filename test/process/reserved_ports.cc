#include "test/process/reserved_ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace fireflythread::test {

ReservedPorts::ReservedPorts(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    this->sockets.push_back(descriptor);
    const int enabled = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
                   sizeof enabled) != 0 ||
        bind(descriptor, generic, size) != 0 ||
        getsockname(descriptor, generic, &size) != 0) {
      throw std::runtime_error("no free port");
    }
    this->ports.push_back(ntohs(address.sin_port));
  }
}

ReservedPorts::~ReservedPorts() {
  for (const int each : this->sockets) {
    close(each);
  }
}

}  // namespace fireflythread::test
