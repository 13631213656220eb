#include "fireflythread/settings/check_settings.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "fireflythread/settings/daemon_settings.h"
#include "fireflythread/settings/setting_value.h"

namespace fireflythread {
namespace {

using Faults = std::vector<SettingsFault>;

// One cell has up to 8 entries that all ping each other.
constexpr std::size_t kMostMembers = 8;

auto Add(Faults& faults,
         std::string section,
         std::string key,
         std::string value,
         std::string problem,
         std::string allowed) -> void {
  faults.push_back(SettingsFault{{},
                                 std::move(section),
                                 std::move(key),
                                 std::move(value),
                                 std::move(problem),
                                 std::move(allowed)});
}

auto CheckOwnMember(const DaemonSettings& settings, Faults& faults) -> void {
  const auto& members = settings.peers.members;
  const auto own = members.find(settings.entry.id);
  if (settings.entry.id.empty()) {
    return;
  }
  if (own == members.end()) {
    Add(faults, "peers", settings.entry.id.value, "",
        "this entry has no member line", "a line for every member");
    return;
  }
  const Endpoint& listen = settings.peers.listen;
  // Port 0 asks for a free port, which only tests use.
  if (!listen.host.empty() && listen.port != 0 && own->second != listen) {
    Add(faults, "peers", "listen", FormatEndpoint(listen),
        "the member line of this entry has another address",
        FormatEndpoint(own->second));
  }
}

auto CheckMembers(const DaemonSettings& settings, Faults& faults) -> void {
  const auto& members = settings.peers.members;
  if (members.size() > kMostMembers) {
    Add(faults, "peers", "", "", "there are too many members",
        "1 to " + std::to_string(kMostMembers));
  }
  std::map<std::string, EntryId> seen;
  for (const auto& [id, endpoint] : members) {
    const std::string text = FormatEndpoint(endpoint);
    const auto [place, inserted] = seen.emplace(text, id);
    if (!inserted && endpoint.port != 0) {
      Add(faults, "peers", id.value, text,
          "the address is also that of " + place->second.value,
          "a different address for every member");
    }
  }
  CheckOwnMember(settings, faults);
}

auto CheckPeerSecurity(const DaemonSettings& settings, Faults& faults) -> void {
  const auto& security = settings.peer_security;
  if (security.secret_key_file.empty() != security.member_keys_file.empty()) {
    Add(faults, "peer_security", "", "",
        "only one of secret_key_file and member_keys_file is given",
        "both or neither");
  }
  if (!security.secret_key_file.empty() ||
      security.allow_plaintext_beyond_loopback) {
    return;
  }
  for (const auto& [id, endpoint] : settings.peers.members) {
    if (!IsLoopback(endpoint)) {
      Add(faults, "peers", id.value, FormatEndpoint(endpoint),
          "the address is beyond the loopback interface and no CURVE keys are "
          "given",
          "key files in [peer_security], or "
          "allow_plaintext_beyond_loopback = true there");
    }
  }
}

auto CheckAdmin(const DaemonSettings& settings, Faults& faults) -> void {
  const auto& admin = settings.admin;
  if (admin.tls_certificate.empty() != admin.tls_key.empty()) {
    Add(faults, "admin", "", "",
        "only one of tls_certificate and tls_key is given", "both or neither");
  }
  const Endpoint& listen = settings.entry.admin_listen;
  if (!listen.host.empty() && !IsLoopback(listen) &&
      admin.tls_certificate.empty() && !admin.allow_plaintext_beyond_loopback) {
    Add(faults, "entry", "admin_listen", FormatEndpoint(listen),
        "tokens would cross the network unprotected",
        "a TLS certificate and key in [admin], or "
        "allow_plaintext_beyond_loopback = true there");
  }
}

auto CheckAtMost(Faults& faults,
                 const std::pair<std::string, std::string>& name,
                 Duration value,
                 Duration limit,
                 std::string why) -> void {
  if (value > limit) {
    Add(faults, name.first, name.second, FormatDuration(value), std::move(why),
        "at most " + FormatDuration(limit));
  }
}

auto CheckTimes(const DaemonSettings& settings, Faults& faults) -> void {
  const auto& freshness = settings.freshness;
  CheckAtMost(faults, {"freshness", "poll"}, freshness.poll,
              freshness.limit / 2,
              "one lost poll would make the entry stop serving");
  CheckAtMost(faults, {"freshness", "ping_period"}, freshness.ping_period,
              freshness.limit / 2,
              "one lost ping would make the entry stop serving");
  const auto& lease = settings.lease;
  CheckAtMost(faults, {"lease", "renew"}, lease.renew,
              (lease.duration - lease.margin) / 2,
              "one lost renewal would make the controller step down");
  CheckAtMost(faults, {"limits", "longest_request"},
              settings.limits.longest_request, settings.limits.graceful_stop,
              "a graceful stop would interrupt requests in flight");
}

}  // namespace

auto CheckSettings(const DaemonSettings& settings)
    -> std::vector<SettingsFault> {
  Faults faults;
  CheckMembers(settings, faults);
  CheckPeerSecurity(settings, faults);
  CheckAdmin(settings, faults);
  CheckTimes(settings, faults);
  return faults;
}

}  // namespace fireflythread
