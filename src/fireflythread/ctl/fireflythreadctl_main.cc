#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "fireflythread/ctl/exit_code.h"
#include "fireflythread/ctl/http_api.h"
#include "fireflythread/ctl/options.h"
#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/read_token.h"
#include "fireflythread/ctl/run_command.h"
#include "fireflythread/settings/setting_value.h"

DECLARE_bool(help);
DEFINE_string(server, "", "entry to ask, e.g. http://127.0.0.1:8101");
DEFINE_string(token_file, "", "file with the bearer token");
DEFINE_string(ca_file, "", "certificates to trust instead of the system's");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(wait, false, "wait for the end of what the verb starts");
DEFINE_string(timeout, "30s", "how long to wait");
DEFINE_bool(dry_run, false, "plan only");
DEFINE_string(zone, "", "availability zones");
DEFINE_string(rack, "", "racks");
DEFINE_string(pool, "", "pools");
DEFINE_string(vm, "", "VMs");
DEFINE_string(state, "", "state of VMs");
DEFINE_string(reason, "", "why the maintenance is done");
DEFINE_string(limit, "", "number of edits");
DEFINE_string(before, "", "only edits before this version");

namespace fireflythread::ctl {
namespace {

// Where FIREFLYTHREAD_SERVER and --server are not given.
constexpr char kDefaultServer[] = "http://127.0.0.1:8101";

auto Fail(const std::string& message) -> int {
  std::fputs((message + "\n").c_str(), stderr);
  return static_cast<int>(ExitCode::kUsage);
}

auto IsTrueOrFalse(const std::string& value) -> bool {
  return value == "true" || value == "false";
}

// Finds what is wrong with the flags. gflags itself would end the program with
// the exit code 1, which stands for another fault.
auto FindWrongFlag(int argc, char** argv) -> std::optional<std::string> {
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--") {
      return std::nullopt;
    }
    if (argument.size() < 2 || argument[0] != '-') {
      continue;
    }
    const std::size_t begin = argument.find_first_not_of('-');
    const std::size_t equals = argument.find('=');
    std::string name = argument.substr(std::min(begin, argument.size()),
                                       equals - std::min(begin, equals));
    std::replace(name.begin(), name.end(), '-', '_');
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
      return argument + ": unknown flag; see fireflythreadctl --help";
    }
    const bool has_value = equals != std::string::npos;
    if (info.type == "bool" && has_value &&
        !IsTrueOrFalse(argument.substr(equals + 1))) {
      return argument + ": must be true or false";
    }
    if (info.type != "bool" && !has_value && ++i >= argc) {
      return argument + ": needs a value";
    }
  }
  return std::nullopt;
}

auto FromEnvironment(const std::string& flag,
                     const char* variable,
                     const char* otherwise) -> std::string {
  if (!flag.empty()) {
    return flag;
  }
  const char* value = std::getenv(variable);
  return value == nullptr || *value == '\0' ? otherwise : value;
}

auto ReadTokenFile(const std::string& path) -> std::optional<std::string> {
  if (path.empty()) {
    return std::string();
  }
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file.good()) {
    return std::nullopt;
  }
  return ReadToken(text.str());
}

auto MakeOptions(Duration timeout) -> Options {
  Options options;
  options.json = FLAGS_output == "json";
  options.wait = FLAGS_wait;
  options.dry_run = FLAGS_dry_run;
  options.timeout = timeout;
  options.zone = FLAGS_zone;
  options.rack = FLAGS_rack;
  options.pool = FLAGS_pool;
  options.vm = FLAGS_vm;
  options.state = FLAGS_state;
  options.reason = FLAGS_reason;
  options.limit = FLAGS_limit;
  options.before = FLAGS_before;
  return options;
}

auto Run(int argc, char** argv) -> int {
  if (const auto wrong = FindWrongFlag(argc, argv)) {
    return Fail(*wrong);
  }
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    return Fail("--output must be table or json");
  }
  const auto timeout = ParseDuration(FLAGS_timeout);
  if (!timeout) {
    return Fail("--timeout must be a time such as 500ms, 30s or 2min");
  }
  const std::string token_file =
      FromEnvironment(FLAGS_token_file, "FIREFLYTHREAD_TOKEN_FILE", "");
  const auto token = ReadTokenFile(token_file);
  if (!token) {
    return Fail(token_file + ": cannot be read");
  }
  HttpApi api(
      FromEnvironment(FLAGS_server, "FIREFLYTHREAD_SERVER", kDefaultServer),
      *token, FLAGS_ca_file);
  Output output;
  const ExitCode code =
      RunCommand(words, MakeOptions(*timeout), FLAGS_help, api, output);
  std::fputs(output.out.c_str(), stdout);
  std::fputs(output.err.c_str(), stderr);
  return static_cast<int>(code);
}

}  // namespace
}  // namespace fireflythread::ctl

auto main(int argc, char** argv) -> int {
  return fireflythread::ctl::Run(argc, argv);
}
