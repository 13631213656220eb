#include <fmt/format.h>
#include <gflags/gflags.h>
#include <glib-unix.h>
#include <glib.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/daemon/daemon.h"
#include "fireflythread/settings/io_load_settings.h"
#include "fireflythread/settings/io_startup.h"
#include "fireflythread/settings/settings_fault.h"

DEFINE_string(config, "", "path of the settings file (INI)");
DEFINE_bool(check, false, "check the settings file and exit");

namespace fireflythread {
namespace {

struct Process {
  GMainLoop* loop = nullptr;
  Daemon* daemon = nullptr;
  guint64 stop_limit_ms = 0;
};

auto OnStopSignal(gpointer data) -> gboolean {
  auto* process = static_cast<Process*>(data);
  process->daemon->Stop([process] { g_main_loop_quit(process->loop); });
  // A request that never ends must not keep the process for ever.
  g_timeout_add_once(
      static_cast<guint>(process->stop_limit_ms),
      [](gpointer loop) { g_main_loop_quit(static_cast<GMainLoop*>(loop)); },
      process->loop);
  return G_SOURCE_REMOVE;
}

auto Serve(const DaemonSettings& settings) -> int {
  Daemon daemon(settings, DrawIncarnation());
  if (const auto error = daemon.Start()) {
    fmt::print(stderr, "fireflythreadd: {}\n", *error);
    return kExitFailed;
  }
  Process process;
  process.loop = g_main_loop_new(nullptr, FALSE);
  process.daemon = &daemon;
  process.stop_limit_ms = static_cast<guint64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          settings.limits.graceful_stop)
          .count());
  g_unix_signal_add(SIGTERM, OnStopSignal, &process);
  g_unix_signal_add(SIGINT, OnStopSignal, &process);
  g_main_loop_run(process.loop);
  g_main_loop_unref(process.loop);
  return 0;
}

auto Run() -> int {
  if (FLAGS_config.empty()) {
    fmt::print(stderr, "fireflythreadd: --config FILE is required\n");
    return kExitBadSettings;
  }
  const SettingsResult loaded = LoadSettings(FLAGS_config);
  if (const auto* faults = std::get_if<std::vector<SettingsFault>>(&loaded)) {
    return ReportFaults(*faults);
  }
  if (FLAGS_check) {
    return ReportValid(FLAGS_config);
  }
  return Serve(std::get<DaemonSettings>(loaded));
}

}  // namespace
}  // namespace fireflythread

auto main(int argc, char** argv) -> int {
  fireflythread::ParseDaemonArguments(argc, argv);
  return fireflythread::Run();
}
