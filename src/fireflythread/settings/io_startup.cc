#include "fireflythread/settings/io_startup.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <random>

#include "fireflythread/settings/settings_fault.h"

namespace fireflythread {

auto DrawIncarnation() -> std::uint64_t {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32U) | device();
}

auto ReportFaults(const std::vector<SettingsFault>& faults) -> int {
  for (const SettingsFault& fault : faults) {
    fmt::print(stderr, "{}\n", FormatFault(fault));
  }
  return kExitBadSettings;
}

auto ReportValid(const std::string& path) -> int {
  fmt::print("{}: the settings are valid\n", path);
  return 0;
}

auto ParseDaemonArguments(int argc, char** argv) -> void {
  gflags::SetUsageMessage("--config FILE [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace fireflythread
