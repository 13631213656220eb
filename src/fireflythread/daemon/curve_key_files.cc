#include "fireflythread/daemon/curve_key_files.h"

#include <fmt/format.h>
#include <sys/stat.h>
#include <zmq.h>

#include <array>
#include <fstream>
#include <sstream>

namespace fireflythread {
namespace {

constexpr std::size_t kZ85KeyLength = 40;

/// True if the file exists and others than its owner cannot read it.
auto IsPrivate(const std::string& path) -> bool {
  struct stat status {};
  return stat(path.c_str(), &status) == 0 &&
         (status.st_mode & (S_IRWXG | S_IRWXO)) == 0;
}

}  // namespace

auto LoadCurveKeys(const DaemonSettings& settings)
    -> std::variant<std::optional<CurveKeys>, std::string> {
  const std::string& secret_file = settings.peer_security.secret_key_file;
  const std::string& members_file = settings.peer_security.member_keys_file;
  if (secret_file.empty() && members_file.empty()) {
    return std::optional<CurveKeys>();
  }
  if (!IsPrivate(secret_file)) {
    return fmt::format("{} is missing or open to others; its mode must be 0600",
                       secret_file);
  }
  CurveKeys keys;
  std::ifstream secret(secret_file);
  secret >> keys.secret_key;
  std::array<char, kZ85KeyLength + 1> public_key{};
  if (keys.secret_key.size() != kZ85KeyLength ||
      zmq_curve_public(public_key.data(), keys.secret_key.c_str()) != 0) {
    return fmt::format("{} does not hold a key of 40 characters", secret_file);
  }
  keys.public_key = public_key.data();

  std::ifstream members(members_file);
  std::string line;
  while (std::getline(members, line)) {
    std::istringstream fields(line);
    std::string entry;
    std::string equals;
    std::string key;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    if (!(fields >> entry >> equals >> key) || equals != "=" ||
        key.size() != kZ85KeyLength) {
      return fmt::format("{}: a line must be \"ENTRY = PUBLIC KEY\"",
                         members_file);
    }
    if (EntryId(entry) != settings.entry.id) {
      keys.peer_public_keys[EntryId(entry)] = key;
    }
  }
  for (const auto& [member, endpoint] : settings.peers.members) {
    if (member != settings.entry.id &&
        !keys.peer_public_keys.contains(member)) {
      return fmt::format("{} has no key of {}", members_file, member.value);
    }
  }
  return std::optional<CurveKeys>(std::move(keys));
}

}  // namespace fireflythread
