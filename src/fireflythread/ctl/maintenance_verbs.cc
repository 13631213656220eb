#include "fireflythread/ctl/maintenance_verbs.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <random>

#include "fireflythread/ctl/api.h"
#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/options.h"
#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/path.h"
#include "fireflythread/ctl/render_wave.h"
#include "fireflythread/ctl/reply_check.h"
#include "fireflythread/ctl/table.h"
#include "fireflythread/telemetry/trace_context.h"

namespace fireflythread::ctl {
namespace {

using nlohmann::json;

constexpr Duration kPoll = std::chrono::milliseconds(500);

auto SplitNames(const std::string& text) -> json {
  json names = json::array();
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    if (end > begin) {
      names.push_back(text.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return names;
}

// Names the order, so that the server declares it once even if a network
// repeats it.
auto DrawKey() -> std::string {
  std::random_device device;
  Random random(std::uint64_t{device()} << 32 | device());
  return MakeTraceId(random);
}

auto GetWave(const std::string& id, Api& api) -> ApiReply {
  ApiRequest request;
  request.path = "/v1/maintenance/" + Escape(id);
  return api.Call(request);
}

auto Show(const ApiReply& reply, const Options& options, Output& output)
    -> ExitCode {
  const ExitCode code = CheckReply(reply, output);
  if (code == ExitCode::kOk) {
    output.out +=
        options.json ? reply.json.dump(2) + "\n" : RenderWave(reply.json);
  }
  return code;
}

auto WaitForWave(const std::string& id,
                 const Options& options,
                 Api& api,
                 Output& output) -> ExitCode {
  for (Duration left = options.timeout; left > Duration(0); left -= kPoll) {
    const ApiReply reply = GetWave(id, api);
    const std::string state = Text(reply.json, "state");
    if (reply.status != 200 || state == "done") {
      return Show(reply, options, output);
    }
    if (state == "cancelled") {
      output.err += "the wave was cancelled\n";
      return ExitCode::kFailed;
    }
    api.Sleep(kPoll);
  }
  output.err += fmt::format("wave {} is not done in time\n", Printable(id));
  return ExitCode::kNotAcceptedInTime;
}

}  // namespace

auto DeclareMaintenance(const Options& options,
                        const Arguments& /*arguments*/,
                        Api& api,
                        Output& output) -> ExitCode {
  const json order{
      {"zones", SplitNames(options.zone)}, {"racks", SplitNames(options.rack)},
      {"pools", SplitNames(options.pool)}, {"vms", SplitNames(options.vm)},
      {"reason", options.reason},          {"dry_run", options.dry_run}};
  const std::string given =
      options.zone + options.rack + options.pool + options.vm;
  if (given.empty()) {
    output.err += "one of --zone, --rack, --pool, --vm is needed\n";
    return ExitCode::kUsage;
  }
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/maintenance";
  request.headers = {{"Idempotency-Key", DrawKey()}};
  request.body = order.dump(-1, ' ', false, json::error_handler_t::replace);
  const ApiReply reply = api.Call(request);
  const ExitCode code = Show(reply, options, output);
  if (code != ExitCode::kOk || options.dry_run || !options.wait) {
    return code;
  }
  return WaitForWave(Text(reply.json, "id"), options, api, output);
}

auto ListMaintenance(const Options& options,
                     const Arguments& /*arguments*/,
                     Api& api,
                     Output& output) -> ExitCode {
  ApiRequest request;
  request.path = "/v1/maintenance";
  const ApiReply reply = api.Call(request);
  const ExitCode code = CheckReply(reply, output);
  if (code == ExitCode::kOk) {
    output.out += options.json ? reply.json.dump(2) + "\n"
                               : RenderWaves(List(reply.json, "waves"));
  }
  return code;
}

auto ShowMaintenance(const Options& options,
                     const Arguments& arguments,
                     Api& api,
                     Output& output) -> ExitCode {
  if (options.wait) {
    return WaitForWave(arguments[0], options, api, output);
  }
  return Show(GetWave(arguments[0], api), options, output);
}

auto CancelMaintenance(const Options& options,
                       const Arguments& arguments,
                       Api& api,
                       Output& output) -> ExitCode {
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/maintenance/" + Escape(arguments[0]) + "/cancel";
  return Show(api.Call(request), options, output);
}

}  // namespace fireflythread::ctl
