#include "fireflythread/admin/io_load_admin_tokens.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace fireflythread::admin {
namespace {

using Result = std::variant<AdminTokens, std::vector<std::string>>;

// Far more than eight entries' operators need.
constexpr off_t kLargestFile = 1 << 20;

auto Fault(const std::string& path, const std::string& problem) -> Result {
  return std::vector<std::string>{path + ": " + problem};
}

auto ReadAll(int descriptor) -> std::string {
  std::string text;
  std::array<char, 4096> buffer{};
  ssize_t length = 0;
  while ((length = read(descriptor, buffer.data(), buffer.size())) > 0) {
    text.append(buffer.data(), static_cast<std::size_t>(length));
  }
  return text;
}

// The mode is taken from the open file, so that the file cannot be exchanged
// between the check and the read.
auto CheckAndRead(const std::string& path, int descriptor) -> Result {
  struct stat status {};
  if (fstat(descriptor, &status) != 0 || !S_ISREG(status.st_mode)) {
    return Fault(path, "is not a regular file");
  }
  if ((status.st_mode & S_IRWXO) != 0) {
    return Fault(path,
                 fmt::format("mode {:04o} lets others use the file; allowed: "
                             "0600, 0640 or less",
                             status.st_mode & 07777));
  }
  if (status.st_size > kLargestFile) {
    return Fault(path, "is larger than 1 MiB");
  }
  Result result = ParseAdminTokens(ReadAll(descriptor));
  if (auto* faults = std::get_if<std::vector<std::string>>(&result)) {
    for (std::string& fault : *faults) {
      fault.insert(0, path + ": ");
    }
  }
  return result;
}

}  // namespace

auto LoadAdminTokens(const std::string& path)
    -> std::variant<AdminTokens, std::vector<std::string>> {
  const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return Fault(path, std::generic_category().message(errno));
  }
  Result result = CheckAndRead(path, descriptor);
  close(descriptor);
  return result;
}

}  // namespace fireflythread::admin
