#include "test/process/child_process.h"

#include <csignal>
#include <stdexcept>

#include "test/process/wait_until.h"

namespace fireflythread::test {

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& log) {
  std::vector<const char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  argv.push_back(nullptr);
  GSubprocessLauncher* launcher =
      g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE);
  g_subprocess_launcher_set_stderr_file_path(launcher, log.c_str());
  GError* error = nullptr;
  this->process = g_subprocess_launcher_spawnv(launcher, argv.data(), &error);
  g_object_unref(launcher);
  if (this->process == nullptr) {
    const std::string reason = error->message;
    g_clear_error(&error);
    throw std::runtime_error(reason);
  }
  this->output =
      g_data_input_stream_new(g_subprocess_get_stdout_pipe(this->process));
}

ChildProcess::~ChildProcess() {
  this->Kill();
  g_object_unref(this->output);
  g_object_unref(this->process);
}

auto ChildProcess::ReadLine() -> std::string {
  char* line =
      g_data_input_stream_read_line(this->output, nullptr, nullptr, nullptr);
  const std::string result = line == nullptr ? "" : line;
  g_free(line);
  return result;
}

auto ChildProcess::ReadAll() -> std::string {
  std::string text;
  char buffer[4096];
  gssize size = 0;
  while ((size = g_input_stream_read(G_INPUT_STREAM(this->output), buffer,
                                     sizeof buffer, nullptr, nullptr)) > 0) {
    text.append(buffer, static_cast<std::size_t>(size));
  }
  return text;
}

auto ChildProcess::Signal(int signal_number) -> void {
  g_subprocess_send_signal(this->process, signal_number);
}

auto ChildProcess::Kill() -> void {
  this->Signal(SIGKILL);
  g_subprocess_wait(this->process, nullptr, nullptr);
}

auto ChildProcess::Freeze() -> void {
  this->Signal(SIGSTOP);
}

auto ChildProcess::Resume() -> void {
  this->Signal(SIGCONT);
}

auto ChildProcess::IsRunning() const -> bool {
  return g_subprocess_get_identifier(this->process) != nullptr;
}

auto ChildProcess::WaitForExit(std::chrono::milliseconds limit)
    -> std::optional<int> {
  if (!WaitUntil([this] { return !this->IsRunning(); }, limit)) {
    return std::nullopt;
  }
  g_subprocess_wait(this->process, nullptr, nullptr);
  if (g_subprocess_get_if_exited(this->process) == FALSE) {
    return std::nullopt;
  }
  return g_subprocess_get_exit_status(this->process);
}

}  // namespace fireflythread::test
