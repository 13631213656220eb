#include "fireflythread/ctl/config_verbs.h"

#include <fmt/format.h>

#include <algorithm>

#include "fireflythread/ctl/api.h"
#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/options.h"
#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/reply_check.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {
namespace {

using std::chrono::milliseconds;

// The server's longest wait.
constexpr Duration kLongestWait = std::chrono::seconds(30);
// Between two polls while acceptance is awaited.
constexpr Duration kPoll = std::chrono::milliseconds(200);

auto AskForVersion(std::uint64_t version, Duration wait, Api& api) -> ApiReply {
  const auto wait_ms = std::chrono::duration_cast<milliseconds>(wait).count();
  ApiRequest request;
  request.path =
      fmt::format("/v1/config/version?version={}&wait_ms={}", version, wait_ms);
  request.timeout += wait;
  return api.Call(request);
}

auto RenderVersion(const nlohmann::json& status) -> std::string {
  std::string text =
      fmt::format("committed {}, accepted {}\n", Text(status, "committed"),
                  Text(status, "accepted"));
  Table table({"ENTRY", "IN FORCE"});
  const auto in_force = status.value("in_force", nlohmann::json::object());
  for (const auto& item : in_force.items()) {
    table.Add({item.key(), Text(item.value())});
  }
  return text + table.Render();
}

auto Show(const ApiReply& reply, const Options& options, Output& output)
    -> ExitCode {
  const ExitCode code = CheckReply(reply, output);
  if (code == ExitCode::kOk) {
    output.out +=
        options.json ? reply.json.dump(2) + "\n" : RenderVersion(reply.json);
  }
  return code;
}

/// The cells that hold up acceptance, e.g. "; cells missing: east"; empty when
/// there are none.
auto MissingCells(const nlohmann::json& status) -> std::string {
  const nlohmann::json cells = List(status, "missing_cells");
  return cells.empty() ? "" : "; cells missing: " + Printable(Text(cells));
}

}  // namespace

auto ShowConfigVersion(const Options& options,
                       const Arguments& /*arguments*/,
                       Api& api,
                       Output& output) -> ExitCode {
  return Show(AskForVersion(0, Duration(0), api), options, output);
}

auto WaitForConfig(const Options& options,
                   const Arguments& arguments,
                   Api& api,
                   Output& output) -> ExitCode {
  std::uint64_t version = 0;
  if (!arguments.empty()) {
    const std::string& text = arguments[0];
    constexpr std::size_t kMostDigits = 18;
    const bool is_number =
        !text.empty() && text.size() <= kMostDigits &&
        text.find_first_not_of("0123456789") == std::string::npos;
    if (!is_number) {
      output.err += "the version must be a whole number\n";
      return ExitCode::kUsage;
    }
    version = std::stoull(text);
  }
  Duration left = options.timeout;
  ApiReply reply;
  do {
    const Duration wait = std::min(left, kLongestWait);
    reply = AskForVersion(version, wait, api);
    left -= std::max(wait, kPoll);
  } while (reply.status == 202 && left > Duration(0));
  const ExitCode code = Show(reply, options, output);
  if (code != ExitCode::kOk || reply.status == 200) {
    return code;
  }
  output.err += "not in force everywhere in time; behind: " +
                Printable(Text(List(reply.json, "behind"))) +
                MissingCells(reply.json) + "\n";
  return ExitCode::kNotAcceptedInTime;
}

auto WaitForAcceptance(std::uint64_t version,
                       Duration timeout,
                       Api& api,
                       Output& output) -> ExitCode {
  std::string missing;
  for (Duration left = timeout; left > Duration(0); left -= kPoll) {
    const ApiReply reply = AskForVersion(version, Duration(0), api);
    const ExitCode code = CheckReply(reply, output);
    if (code != ExitCode::kOk) {
      return code;
    }
    missing = MissingCells(reply.json);
    if (Number(reply.json, "accepted") >= static_cast<double>(version)) {
      output.out +=
          fmt::format("configuration version {}: accepted\n", version);
      return ExitCode::kOk;
    }
    api.Sleep(kPoll);
  }
  output.err += fmt::format(
      "configuration version {} is committed but not accepted in time{}\n",
      version, missing);
  return ExitCode::kNotAcceptedInTime;
}

}  // namespace fireflythread::ctl
