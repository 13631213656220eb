#include "test/process/backend_standin.h"

#include <stdexcept>

#include "test/process/http_fetch.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

auto Arguments(const std::vector<std::string>& flags)
    -> std::vector<std::string> {
  std::vector<std::string> arguments = {FIREFLYTHREAD_BIN_DIR
                                        "/standin-backend"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return arguments;
}

}  // namespace

BackendStandin::BackendStandin(const std::vector<std::string>& flags,
                               const std::string& log)
    : process(Arguments(flags), log),
      started(Json::parse(this->process.ReadLine())) {}

auto BackendStandin::Control(const std::string& path) const -> std::string {
  return "http://127.0.0.1:" +
         std::to_string(this->started.at("control_port").get<int>()) + path;
}

auto BackendStandin::SetFaults(const Json& faults) const -> void {
  const HttpAnswer answer =
      Fetch("POST", this->Control("/faults"), faults.dump());
  if (answer.status != 200) {
    throw std::runtime_error("faults were not set: " + answer.body);
  }
}

auto BackendStandin::Counters() const -> Json {
  return Fetch("GET", this->Control("/counters")).Json();
}

auto BackendStandin::Attempts() const -> Json {
  return Fetch("GET", this->LedgerUrl()).Json().at("attempts");
}

auto BackendStandin::Count(const std::string& state) const -> int {
  return this->Counters().at(state).get<int>();
}

}  // namespace fireflythread::test
