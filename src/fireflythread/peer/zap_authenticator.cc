#include "fireflythread/peer/zap_authenticator.h"

#include <array>
#include <cstddef>
#include <iterator>
#include <vector>
#include <zmq_addon.hpp>

namespace fireflythread {

namespace {

constexpr const char* kZapEndpoint = "inproc://zeromq.zap.01";
constexpr const char* kZapVersion = "1.0";
/// Frames of a request: version, request id, domain, address, identity,
/// mechanism, key.
constexpr std::size_t kCurveRequestFrames = 7;
constexpr std::size_t kRequestIdFrame = 1;
constexpr std::size_t kMechanismFrame = 5;
constexpr std::size_t kKeyFrame = 6;
constexpr std::size_t kBinaryKeyLength = 32;
constexpr std::size_t kKeyTextSize = 41;

auto BindZap(zmq::context_t& context) -> zmq::socket_t {
  zmq::socket_t socket(context, zmq::socket_type::rep);
  socket.set(zmq::sockopt::linger, 0);
  socket.bind(kZapEndpoint);
  return socket;
}

/// The client's key in Z85; empty when the request is not for CURVE.
auto KeyOf(const std::vector<zmq::message_t>& request) -> std::string {
  if (request.size() != kCurveRequestFrames ||
      request[kMechanismFrame].to_string_view() != "CURVE" ||
      request[kKeyFrame].size() != kBinaryKeyLength) {
    return {};
  }
  std::array<char, kKeyTextSize> text{};
  zmq_z85_encode(text.data(), request[kKeyFrame].data<std::uint8_t>(),
                 kBinaryKeyLength);
  return text.data();
}

}  // namespace

ZapAuthenticator::ZapAuthenticator(zmq::context_t& zmq_context,
                                   GMainContext* context,
                                   const CurveKeys& keys,
                                   std::uint64_t& refused_connections)
    : refused(refused_connections),
      socket(BindZap(zmq_context)),
      watch(context, this->socket, [this] { return this->AnswerOne(); }) {
  for (const auto& [entry, key] : keys.peer_public_keys) {
    this->entry_of_key.emplace(key, entry);
  }
}

auto ZapAuthenticator::AnswerOne() -> bool {
  std::vector<zmq::message_t> request;
  if (!zmq::recv_multipart(this->socket, std::back_inserter(request),
                           zmq::recv_flags::dontwait)) {
    return false;
  }
  const auto entry = this->entry_of_key.find(KeyOf(request));
  const bool admitted = entry != this->entry_of_key.end();
  if (!admitted) {
    ++this->refused;
  }
  const std::string request_id = request.size() > kRequestIdFrame
                                     ? request[kRequestIdFrame].to_string()
                                     : std::string();
  const std::array<std::string, 6> reply{kZapVersion,
                                         request_id,
                                         admitted ? "200" : "400",
                                         admitted ? "OK" : "unknown key",
                                         admitted ? entry->second.value : "",
                                         ""};
  for (std::size_t frame = 0; frame < reply.size(); ++frame) {
    const auto flags = frame + 1 < reply.size() ? zmq::send_flags::sndmore |
                                                      zmq::send_flags::dontwait
                                                : zmq::send_flags::dontwait;
    this->socket.send(zmq::buffer(reply[frame]), flags);
  }
  return true;
}

}  // namespace fireflythread
