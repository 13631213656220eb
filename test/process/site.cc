#include "test/process/site.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

constexpr const char* kToken = "process-test-token";

auto Join(const std::vector<int>& ports) -> std::string {
  std::string text;
  for (const int port : ports) {
    text += (text.empty() ? "" : ",") + std::to_string(port);
  }
  return text;
}

auto RunScript(const std::vector<std::string>& arguments,
               const std::string& log) -> std::string {
  ChildProcess process(arguments, log);
  std::string output = process.ReadAll();
  if (!process.WaitForExit(kLimit)) {
    throw std::runtime_error(arguments[0] + " did not end");
  }
  return output;
}

}  // namespace

Site::Site(Options site_options)
    : options(std::move(site_options)),
      caller_ports(this->options.entries),
      admin_ports(this->options.entries),
      peer_ports(this->options.entries) {
  const std::string vms = this->directory.Path("vms.json");
  RunScript({FIREFLYTHREAD_SOURCE_DIR "/scripts/make-site", "vms", "--out",
             this->directory.Path("vms.in.json")},
            this->directory.Path("make-vms.log"));
  std::vector<std::string> flags = this->options.backend_flags;
  flags.push_back("--vms=" + this->directory.Path("vms.in.json"));
  flags.push_back("--write_vms=" + vms);
  this->backend = std::make_unique<BackendStandin>(
      flags, this->directory.Path("backend.log"));
  this->platform = std::make_unique<PlatformStandin>(
      std::vector<std::string>{
          "--vms=" + vms,
          "--listeners=" + std::to_string(this->options.entries)},
      this->directory.Path("platform.log"));
  this->MakeEntries();
  const Json rows =
      Json::parse(RunScript({"/bin/cat", this->directory.Path("rows.json")},
                            this->directory.Path("cat.log")));
  const HttpAnswer written = Fetch(
      "POST", "http://" + this->platform->Address() + "/v1/table/transactions",
      rows.dump());
  if (written.Json().value("outcome", "") != "committed") {
    throw std::runtime_error("the first rows were not written");
  }
  this->entries.resize(this->options.entries);
  for (std::size_t i = 0; i < this->options.entries; ++i) {
    this->StartEntry(i);
  }
  for (std::size_t i = 0; i < this->options.entries; ++i) {
    if (!this->WaitReady(i)) {
      throw std::runtime_error("entry " + std::to_string(i + 1) +
                               " did not get ready; its log ends with:\n" +
                               this->LogTail(i));
    }
  }
}

auto Site::MakeEntries() -> void {
  std::string platforms;
  for (std::size_t i = 0; i < this->options.entries; ++i) {
    platforms += (i == 0 ? "" : ",") + this->platform->Address(i);
  }
  std::vector<int> connect_ports = this->peer_ports.Ports();
  if (this->options.relay_peers) {
    for (int& port : connect_ports) {
      this->relays.push_back(std::make_unique<TcpRelay>(port));
      port = this->relays.back()->Port();
    }
  }
  RunScript({FIREFLYTHREAD_SOURCE_DIR "/scripts/make-site",
             "entries",
             "--dir",
             this->directory.Path(""),
             "--vms",
             this->directory.Path("vms.json"),
             "--platform",
             platforms,
             "--token",
             kToken,
             "--extra",
             this->options.settings,
             "--caller-ports",
             Join(this->caller_ports.Ports()),
             "--admin-ports",
             Join(this->admin_ports.Ports()),
             "--peer-ports",
             Join(this->peer_ports.Ports()),
             "--peer-connect-ports",
             Join(connect_ports)},
            this->directory.Path("make-entries.log"));
}

auto Site::StartEntry(std::size_t index) -> void {
  const std::string name = "entry-" + std::to_string(index + 1);
  this->entries[index] = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          FIREFLYTHREAD_BIN_DIR "/fireflythreadd",
          "--config=" + this->directory.Path(name + ".ini")},
      this->directory.Path(name + ".log"));
}

auto Site::LogTail(std::size_t index) const -> std::string {
  constexpr std::size_t kBytes = 2000;
  std::ifstream file(
      this->directory.Path("entry-" + std::to_string(index + 1) + ".log"));
  std::ostringstream text;
  text << file.rdbuf();
  const std::string log = text.str();
  return log.size() > kBytes ? log.substr(log.size() - kBytes) : log;
}

auto Site::Restart(std::size_t index) -> void {
  this->entries.at(index)->Kill();
  this->StartEntry(index);
}

auto Site::Readiness(std::size_t index) const -> HttpAnswer {
  return Fetch("GET",
               "http://127.0.0.1:" +
                   std::to_string(this->admin_ports.Ports().at(index)) +
                   "/readyz",
               "", {}, std::chrono::seconds(2));
}

auto Site::AddSettings(std::size_t index, const std::string& text) -> void {
  std::ofstream file(
      this->directory.Path("entry-" + std::to_string(index + 1) + ".ini"),
      std::ios::app);
  file << "\n" << text;
}

auto Site::IsReady(std::size_t index) const -> bool {
  return this->Readiness(index).status == 200;
}

auto Site::WaitReady(std::size_t index) const -> bool {
  return WaitUntil([this, index] { return this->IsReady(index); });
}

auto Site::Controller() const -> std::size_t {
  const std::string holder =
      this->platform->Rows("lease").at("controller").value("holder", "");
  for (std::size_t i = 0; i < this->options.entries; ++i) {
    if (holder == "entry-" + std::to_string(i + 1)) {
      return i;
    }
  }
  throw std::runtime_error("no entry holds the controller lease");
}

auto Site::SilencePeerLinks() -> void {
  for (const auto& relay : this->relays) {
    relay->SilenceEstablished();
  }
}

auto Site::HasNewPeerLinks() const -> bool {
  return std::all_of(
      this->relays.begin(), this->relays.end(),
      [](const auto& relay) -> bool { return relay->HasNewConnection(); });
}

auto Site::Call(std::size_t entry,
                const std::string& method,
                const std::string& service,
                const HttpHeaders& headers) const -> HttpAnswer {
  return this->CallPath(entry, method, service + "/work",
                        method == "POST" ? "body" : "", headers);
}

auto Site::CallPath(std::size_t entry,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body,
                    const HttpHeaders& headers) const -> HttpAnswer {
  return Fetch(method,
               "http://127.0.0.1:" +
                   std::to_string(this->caller_ports.Ports().at(entry)) +
                   "/s/" + path,
               body, headers);
}

auto Site::CallLater(std::size_t entry,
                     const std::string& method,
                     const std::string& service,
                     const HttpHeaders& headers) const
    -> std::future<HttpAnswer> {
  return std::async(std::launch::async,
                    [this, entry, method, service, headers] {
                      return this->Call(entry, method, service, headers);
                    });
}

auto Site::Admin(std::size_t entry,
                 const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 const HttpHeaders& headers) const -> HttpAnswer {
  HttpHeaders all = headers;
  all["Authorization"] = std::string("Bearer ") + kToken;
  return Fetch(method,
               "http://127.0.0.1:" +
                   std::to_string(this->admin_ports.Ports().at(entry)) + path,
               body, all);
}

auto Site::StartCaller(const std::vector<std::string>& flags)
    -> std::unique_ptr<ChildProcess> {
  const std::string number = std::to_string(this->outcome_files.size() + 1);
  this->outcome_files.push_back(
      this->directory.Path("outcomes-" + number + ".jsonl"));
  std::string addresses;
  for (const int port : this->caller_ports.Ports()) {
    addresses +=
        (addresses.empty() ? "" : ",") + ("127.0.0.1:" + std::to_string(port));
  }
  std::vector<std::string> arguments = {
      FIREFLYTHREAD_BIN_DIR "/standin-caller",
      "--entries=" + addresses,
      "--services=take-order,plan-bends,plan-seams,fit-quote,release-work",
      "--teams=homeowners,installers,fire-inspector",
      "--seed=" + number,
      "--outcomes=" + this->outcome_files.back()};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return std::make_unique<ChildProcess>(
      arguments, this->directory.Path("caller-" + number + ".log"));
}

auto Site::EndCaller(ChildProcess& caller) -> Json {
  return Json::parse(caller.ReadAll());
}

auto Site::Reconcile() const -> Json {
  std::vector<std::string> arguments = {
      FIREFLYTHREAD_SOURCE_DIR "/standin/reconcile", "--ledger",
      this->backend->LedgerUrl(), "--outcomes"};
  arguments.insert(arguments.end(), this->outcome_files.begin(),
                   this->outcome_files.end());
  return Json::parse(
      RunScript(arguments, this->directory.Path("reconcile.log")));
}

}  // namespace fireflythread::test
