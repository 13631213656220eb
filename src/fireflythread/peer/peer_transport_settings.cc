#include "fireflythread/peer/peer_transport_settings.h"

#include <gio/gio.h>

#include <algorithm>
#include <memory>

namespace fireflythread {

namespace {

/// Z85 text of a 32-byte key.
constexpr std::size_t kKeyLength = 40;

using SocketAddress = std::unique_ptr<GSocketConnectable, void (*)(gpointer)>;

/// True for a numeric address in the loopback range.
auto IsLoopback(const std::string& address) -> bool {
  const SocketAddress parsed(
      g_network_address_parse(address.c_str(), 0, nullptr), g_object_unref);
  if (!parsed) {
    return false;
  }
  const char* host =
      g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed.get()));
  const std::unique_ptr<GInetAddress, void (*)(gpointer)> inet(
      g_inet_address_new_from_string(host), g_object_unref);
  return inet && g_inet_address_get_is_loopback(inet.get()) != 0;
}

auto CheckKeys(const PeerTransportSettings& settings,
               std::vector<std::string>& problems) -> void {
  const CurveKeys& keys = *settings.keys;
  if (keys.public_key.size() != kKeyLength ||
      keys.secret_key.size() != kKeyLength) {
    problems.emplace_back("the own keys are not 40 characters of Z85");
  }
  for (const auto& [peer, address] : settings.peers) {
    const auto found = keys.peer_public_keys.find(peer);
    if (found == keys.peer_public_keys.end()) {
      problems.push_back("no public key for peer " + peer.value);
    } else if (found->second.size() != kKeyLength) {
      problems.push_back("the public key of peer " + peer.value +
                         " is not 40 characters of Z85");
    }
  }
}

}  // namespace

auto CheckPeerSettings(const PeerTransportSettings& settings)
    -> std::vector<std::string> {
  std::vector<std::string> problems;
  if (settings.self.empty()) {
    problems.emplace_back("the entry has no name");
  }
  if (settings.peers.contains(settings.self)) {
    problems.emplace_back("the entry is listed as its own peer");
  }
  if (settings.keys) {
    CheckKeys(settings, problems);
  } else if (!settings.allow_plaintext_beyond_loopback &&
             !IsLoopback(settings.listen_address)) {
    problems.push_back("the listen address " + settings.listen_address +
                       " is beyond loopback and no keys are set");
  }
  return problems;
}

}  // namespace fireflythread
