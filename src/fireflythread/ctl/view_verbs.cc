#include "fireflythread/ctl/view_verbs.h"

#include <nlohmann/json.hpp>

#include "fireflythread/ctl/api.h"
#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/options.h"
#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/path.h"
#include "fireflythread/ctl/render_status.h"
#include "fireflythread/ctl/render_trace.h"
#include "fireflythread/ctl/reply_check.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {
namespace {

using nlohmann::json;

// Gets a path and shows the reply as JSON or by `render`.
auto ShowPath(const std::string& path,
              const Options& options,
              auto(*render)(const json&)->std::string,
              Api& api,
              Output& output) -> ExitCode {
  ApiRequest request;
  request.path = path;
  const ApiReply reply = api.Call(request);
  const ExitCode code = CheckReply(reply, output);
  if (code == ExitCode::kOk) {
    output.out += options.json ? reply.json.dump(2) + "\n" : render(reply.json);
  }
  return code;
}

auto AddToQuery(const std::string& key,
                const std::string& value,
                std::string& query) -> void {
  if (!value.empty()) {
    query += query.empty() ? "?" : "&";
    query += key;
    query += '=';
    query += Escape(value);
  }
}

auto RenderVms(const json& reply) -> std::string {
  Table table({"VM", "STATE", "POOL", "NEXT POOL", "ZONE", "RACK", "IN FLIGHT",
               "EJECTED", "WAVE", "NOTE"});
  for (const json& vm : List(reply, "vms")) {
    const std::string reason = Text(vm, "reason");
    table.Add({Text(vm, "id"), Text(vm, "state"), Text(vm, "pool"),
               Text(vm, "next_pool"), Text(vm, "zone"), Text(vm, "rack"),
               Text(vm, "in_flight"), Text(vm, "ejected"), Text(vm, "wave"),
               reason == "-" ? Text(vm, "note") : reason});
  }
  return table.Render();
}

auto RenderVm(const json& vm) -> std::string {
  Table table({"FIELD", "VALUE"});
  for (const auto& item : vm.items()) {
    table.Add({item.key(), Text(item.value())});
  }
  return table.Render();
}

// The fields that an edit changed, as "key: old -> new".
auto Changes(const json& old_object, const json& new_object) -> std::string {
  if (!old_object.is_object()) {
    return "created";
  }
  if (!new_object.is_object()) {
    return "deleted";
  }
  std::string text;
  json all = old_object;
  all.update(new_object);
  for (const auto& item : all.items()) {
    const std::string before = Text(old_object, item.key());
    const std::string after = Text(new_object, item.key());
    if (before != after) {
      text += text.empty() ? "" : ", ";
      text += item.key();
      text += ": ";
      text += before;
      text += " -> ";
      text += after;
    }
  }
  return text;
}

auto RenderHistory(const json& reply) -> std::string {
  Table table({"VERSION", "WHEN", "WHO", "OBJECT", "FROM", "CHANGES"});
  for (const json& entry : List(reply, "history")) {
    table.Add(
        {Text(entry, "version"), Text(entry, "when"), Text(entry, "who"),
         Text(entry, "kind") + "/" + Text(entry, "name"),
         Text(entry, "from_version"),
         Changes(entry.value("old", json()), entry.value("new", json()))});
  }
  return table.Render();
}

}  // namespace

auto ListVms(const Options& options,
             const Arguments& /*arguments*/,
             Api& api,
             Output& output) -> ExitCode {
  std::string query;
  AddToQuery("pool", options.pool, query);
  AddToQuery("zone", options.zone, query);
  AddToQuery("rack", options.rack, query);
  AddToQuery("state", options.state, query);
  return ShowPath("/v1/vms" + query, options, &RenderVms, api, output);
}

auto ShowVm(const Options& options,
            const Arguments& arguments,
            Api& api,
            Output& output) -> ExitCode {
  return ShowPath("/v1/vms/" + Escape(arguments[0]), options, &RenderVm, api,
                  output);
}

auto ShowStatus(const Options& options,
                const Arguments& /*arguments*/,
                Api& api,
                Output& output) -> ExitCode {
  return ShowPath("/v1/status", options, &RenderStatus, api, output);
}

auto ShowHistory(const Options& options,
                 const Arguments& arguments,
                 Api& api,
                 Output& output) -> ExitCode {
  std::string query;
  AddToQuery("limit", options.limit, query);
  AddToQuery("before", options.before, query);
  if (!arguments.empty()) {
    const std::size_t slash = arguments[0].find('/');
    if (slash == std::string::npos) {
      output.err += "the object must be KIND/NAME, e.g. profile/counter\n";
      return ExitCode::kUsage;
    }
    AddToQuery("kind", arguments[0].substr(0, slash), query);
    AddToQuery("name", arguments[0].substr(slash + 1), query);
  }
  return ShowPath("/v1/history" + query, options, &RenderHistory, api, output);
}

auto ShowTrace(const Options& options,
               const Arguments& arguments,
               Api& api,
               Output& output) -> ExitCode {
  return ShowPath("/v1/traces/" + Escape(arguments[0]), options, &RenderTrace,
                  api, output);
}

}  // namespace fireflythread::ctl
