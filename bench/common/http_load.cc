#include "bench/common/http_load.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <string_view>

#include "fireflythread/base/assert.h"

namespace fireflythread {

namespace {

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-In-Flight: 1\r\n"
    "Content-Length: 16\r\n\r\n0123456789abcdef";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kBodySize = 16;

auto LoopbackAddress(std::uint16_t port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

auto SetNoDelay(int descriptor) -> void {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

auto AddToPoll(int poller, int descriptor) -> void {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = descriptor;
  epoll_ctl(poller, EPOLL_CTL_ADD, descriptor, &event);
}

/// Reads one response with a body of kBodySize bytes; false on an error.
auto ReadAnswer(int descriptor) -> bool {
  std::string received;
  std::array<char, 4096> buffer{};
  while (true) {
    const std::size_t end = received.find(kHeadEnd);
    if (end != std::string::npos &&
        received.size() >= end + kHeadEnd.size() + kBodySize) {
      return received.starts_with("HTTP/1.1 200");
    }
    const auto count = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return false;
    }
    received.append(buffer.data(), static_cast<std::size_t>(count));
    if (end == std::string::npos && !received.starts_with("HTTP/1.1 200")) {
      return false;
    }
  }
}

auto RunConnection(std::uint16_t port,
                   const std::string& request,
                   int count,
                   std::vector<std::chrono::nanoseconds>& times) -> void {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  SetNoDelay(descriptor);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    for (int i = 0; i < count; ++i) {
      const auto start = std::chrono::steady_clock::now();
      if (send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0 ||
          !ReadAnswer(descriptor)) {
        break;
      }
      times.push_back(std::chrono::steady_clock::now() - start);
    }
  }
  close(descriptor);
}

}  // namespace

FixedServer::FixedServer()
    : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      poller(epoll_create1(EPOLL_CLOEXEC)),
      stop_event(eventfd(0, EFD_CLOEXEC)) {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  FIREFLYTHREAD_ASSERT(bind(this->listener, generic, size) == 0 &&
                           listen(this->listener, 128) == 0,
                       "the server listens on the loopback");
  getsockname(this->listener, generic, &size);
  this->port = ntohs(address.sin_port);
  AddToPoll(this->poller, this->listener);
  AddToPoll(this->poller, this->stop_event);
  this->thread = std::thread([this] { this->Run(); });
}

FixedServer::~FixedServer() {
  eventfd_write(this->stop_event, 1);
  this->thread.join();
  close(this->listener);
  close(this->poller);
  close(this->stop_event);
}

auto FixedServer::Run() -> void {
  std::map<int, std::string> peers;
  std::array<char, 16384> buffer{};
  while (true) {
    epoll_event event{};
    if (epoll_wait(this->poller, &event, 1, -1) <= 0) {
      continue;
    }
    const int descriptor = event.data.fd;
    if (descriptor == this->stop_event) {
      break;
    }
    if (descriptor == this->listener) {
      const int peer = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      SetNoDelay(peer);
      AddToPoll(this->poller, peer);
      continue;
    }
    const auto count = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      close(descriptor);
      peers.erase(descriptor);
      continue;
    }
    std::string& received = peers[descriptor];
    received.append(buffer.data(), static_cast<std::size_t>(count));
    for (std::size_t end = received.find(kHeadEnd); end != std::string::npos;
         end = received.find(kHeadEnd)) {
      received.erase(0, end + kHeadEnd.size());
      send(descriptor, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
    }
  }
  for (const auto& [descriptor, received] : peers) {
    close(descriptor);
  }
}

auto SendLoad(std::uint16_t port,
              const std::string& request,
              int connections,
              int count) -> std::vector<std::chrono::nanoseconds> {
  std::vector<std::chrono::nanoseconds> all;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(connections));
  for (int i = 0; i < connections; ++i) {
    threads.emplace_back([&] {
      std::vector<std::chrono::nanoseconds> times;
      RunConnection(port, request, count / connections, times);
      const std::lock_guard lock(mutex);
      all.insert(all.end(), times.begin(), times.end());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace fireflythread
