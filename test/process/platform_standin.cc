#include "test/process/platform_standin.h"

#include <stdexcept>

#include "test/process/http_fetch.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

auto Arguments(const std::vector<std::string>& flags)
    -> std::vector<std::string> {
  std::vector<std::string> arguments = {FIREFLYTHREAD_BIN_DIR
                                        "/standin-platform"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return arguments;
}

}  // namespace

PlatformStandin::PlatformStandin(const std::vector<std::string>& flags,
                                 const std::string& log)
    : process(Arguments(flags), log),
      started(Json::parse(this->process.ReadLine())) {}

auto PlatformStandin::Address(std::size_t listener) const -> std::string {
  return "127.0.0.1:" +
         std::to_string(this->started.at("ports").at(listener).get<int>());
}

auto PlatformStandin::Control(const std::string& path) const -> std::string {
  return "http://127.0.0.1:" +
         std::to_string(this->started.at("control_port").get<int>()) + path;
}

auto PlatformStandin::SetFaults(const Json& faults) const -> void {
  const HttpAnswer answer =
      Fetch("POST", this->Control("/faults"), faults.dump());
  if (answer.status != 200) {
    throw std::runtime_error("faults were not set: " + answer.body);
  }
}

auto PlatformStandin::Rows(const std::string& table) const
    -> std::map<std::string, Json> {
  std::map<std::string, Json> rows;
  const Json scan = Fetch("GET", this->Control("/rows?table=" + table)).Json();
  for (const Json& row : scan.at("rows")) {
    rows[row.at("key")] =
        Json::parse(row.at("value").get<std::string>(), nullptr, false);
  }
  return rows;
}

auto PlatformStandin::WriteRows(const std::string& table,
                                const std::map<std::string, Json>& rows) const
    -> void {
  Json writes = Json::array();
  for (const auto& [key, value] : rows) {
    writes.push_back({{"table", table}, {"key", key}, {"value", value.dump()}});
  }
  const HttpAnswer answer = Fetch("POST", this->Control("/transactions"),
                                  Json({{"nonce", "test"},
                                        {"conditions", Json::array()},
                                        {"writes", std::move(writes)}})
                                      .dump());
  if (answer.status != 200) {
    throw std::runtime_error("rows were not written: " + answer.body);
  }
}

auto PlatformStandin::Counters() const -> Json {
  return Fetch("GET", this->Control("/counters")).Json();
}

auto PlatformStandin::Vms() const -> Json {
  return Fetch("GET", this->Control("/vms")).Json();
}

auto PlatformStandin::Runs() const -> Json {
  return Fetch("GET", this->Control("/runs")).Json();
}

auto PlatformStandin::Tasks() const -> std::map<std::string, Json> {
  std::map<std::string, Json> tasks;
  const Json state = Fetch("GET", this->Control("/tasks")).Json();
  for (const Json& task : state.at("tasks")) {
    tasks[task.at("task")] = task;
  }
  return tasks;
}

}  // namespace fireflythread::test
