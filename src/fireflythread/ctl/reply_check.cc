#include "fireflythread/ctl/reply_check.h"

#include <fmt/format.h>

#include "fireflythread/ctl/api_reply.h"
#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {

auto ExitCodeOf(const ApiReply& reply) -> ExitCode {
  if (reply.status >= 200 && reply.status < 300) {
    return ExitCode::kOk;
  }
  switch (reply.status) {
    case 0:
      return ExitCode::kUnreachable;
    case 401:
    case 403:
      return ExitCode::kUnauthorized;
    case 404:
      return ExitCode::kNotFound;
    case 409:
      return ExitCode::kConflict;
    default:
      return ExitCode::kFailed;
  }
}

auto CheckReply(const ApiReply& reply, Output& output) -> ExitCode {
  const ExitCode code = ExitCodeOf(reply);
  if (code == ExitCode::kOk) {
    return code;
  }
  if (reply.status == 0) {
    output.err += fmt::format(
        "{}: {}\n",
        reply.may_have_run
            ? "the server did not answer; an edit may have taken effect, see "
              "fireflythreadctl history"
            : "the server cannot be reached",
        Printable(reply.problem));
    return code;
  }
  const nlohmann::json error = reply.json.is_object()
                                   ? reply.json.value("error", nlohmann::json())
                                   : nlohmann::json();
  output.err += fmt::format("{} ({}): {}\n", Printable(Text(error, "code")),
                            reply.status, Printable(Text(error, "message")));
  for (const nlohmann::json& detail : List(error, "details")) {
    output.err += fmt::format("  {}\n", Printable(Text(detail)));
  }
  return code;
}

}  // namespace fireflythread::ctl
