#include "fireflythread/daemon/config_editor.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/base/overloaded.h"
#include "fireflythread/config/apply_change.h"
#include "fireflythread/config/config_fault.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/config/edit_result.h"
#include "fireflythread/config/tables.h"
#include "fireflythread/daemon/cell_task.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "config";
/// Another edit may come first each time; operators are few.
constexpr int kMaxAttempts = 8;

auto Unavailable(std::string reason) -> admin::AdminError {
  return {admin::AdminError::Kind::kUnavailable, std::move(reason), {}};
}

auto Invalid(const EditInvalid& invalid) -> admin::AdminError {
  admin::AdminError error{
      admin::AdminError::Kind::kInvalid, "the object is not acceptable", {}};
  for (const ConfigFault& fault : invalid.faults) {
    error.details.push_back(Describe(fault));
  }
  return error;
}

auto InUse(const EditInUse& in_use) -> admin::AdminError {
  admin::AdminError error{
      admin::AdminError::Kind::kInvalid, "the object is in use", {}};
  for (const std::string& user : in_use.users) {
    error.details.push_back("used by " + user);
  }
  return error;
}

/// The API shows an object's name and version beside its fields and may send
/// them back; the row's value holds the fields only.
auto WithoutIdentity(const std::optional<std::string>& body)
    -> std::optional<std::string> {
  if (!body) {
    return std::nullopt;
  }
  nlohmann::json object = nlohmann::json::parse(*body, nullptr, false);
  if (!object.is_object()) {
    return body;
  }
  object.erase("name");
  object.erase("version");
  return object.dump();
}

auto BodyOf(const ConfigSnapshot& snapshot, const std::string& key)
    -> std::string {
  for (const Row& row : SnapshotRows(snapshot)) {
    if (row.key == key) {
      return row.value;
    }
  }
  return "";
}

}  // namespace

/// One edit on its way to the table.
struct ConfigEditor::Attempt {
  ConfigEdit edit;
  Duration wait{0};
  Callback callback;
  PlannedEdit plan;
  int attempts = 0;
  int read_backs = 0;
};

ConfigEditor::ConfigEditor(const DaemonSettings& daemon_settings,
                           std::uint64_t process_incarnation,
                           PlatformClient& platform_client,
                           const Logger& log,
                           StateTask& state_task,
                           CellTask& cell_task)
    : settings(daemon_settings),
      incarnation(process_incarnation),
      platform(platform_client),
      logger(log),
      state(state_task),
      cells(cell_task) {}

auto ConfigEditor::Edit(const admin::EditRequest& request, Callback callback)
    -> void {
  auto attempt = std::make_shared<Attempt>();
  attempt->edit.kind = static_cast<ConfigKind>(request.kind);
  attempt->edit.name = request.name;
  attempt->edit.value = WithoutIdentity(request.body);
  attempt->edit.from_version = request.expected_version;
  attempt->edit.who = request.who;
  attempt->edit.at = std::chrono::system_clock::now();
  attempt->wait = request.wait;
  attempt->callback = std::move(callback);
  this->Commit(attempt);
}

auto ConfigEditor::Commit(const std::shared_ptr<Attempt>& attempt) -> void {
  if (this->state.Members().recovering) {
    attempt->callback(Unavailable("the entry recovers its control state"));
    return;
  }
  if (++attempt->attempts > kMaxAttempts) {
    attempt->callback(Unavailable("other edits came first each time"));
    return;
  }
  attempt->edit.nonce =
      fmt::format("{}/{:016x}/{}", this->settings.entry.id.value,
                  this->incarnation, ++this->edits);
  const ConfigSnapshot& snapshot = *this->state.Current().config;
  EditPlan planned = PlanEdit(snapshot, attempt->edit);
  std::visit(
      Overloaded{
          [&](PlannedEdit& plan) {
            attempt->plan = std::move(plan);
            HeadWrite write;
            write.kind = HeadKind::kConfig;
            write.from_head = snapshot.version;
            write.to_head = attempt->plan.version;
            write.head_row_version = snapshot.head_row_version;
            write.transaction = attempt->plan.transaction;
            this->state.CommitHead(
                std::move(write),
                [this, attempt](const TransactionOutcome& outcome) {
                  this->Finish(attempt, outcome);
                });
          },
          [&](const EditConflict& conflict) {
            this->ReportConflict(attempt, conflict);
          },
          [&](const EditInvalid& invalid) {
            attempt->callback(Invalid(invalid));
          },
          [&](const EditInUse& in_use) { attempt->callback(InUse(in_use)); }},
      planned);
}

auto ConfigEditor::Finish(const std::shared_ptr<Attempt>& attempt,
                          const TransactionOutcome& outcome) -> void {
  const auto* failed = std::get_if<NotCommitted>(&outcome);
  if (failed != nullptr && failed->reason == kSettledReason) {
    this->ReadBack(attempt);
    return;
  }
  const EditResult result = EditResultOf(attempt->plan, outcome);
  std::visit(Overloaded{[&](const EditCommitted& committed) {
                          this->Report(attempt, committed);
                        },
                        [&](const EditConflict& conflict) {
                          this->ReportConflict(attempt, conflict);
                        },
                        [&](const EditHeadMoved&) {
                          this->state.RefreshConfig(
                              [this, attempt] { this->Commit(attempt); });
                        },
                        [&](const EditNotCommitted& refused) {
                          attempt->callback(Unavailable(refused.reason));
                        },
                        [&](const EditUnknown&) { this->ReadBack(attempt); }},
             result);
}

auto ConfigEditor::ReadBack(const std::shared_ptr<Attempt>& attempt) -> void {
  this->platform.Read(
      kHistoryTable, HistoryKey(attempt->plan.version),
      this->settings.platform.read_timeout, [this, attempt](auto result) {
        const auto* row = std::get_if<std::optional<Row>>(&result);
        if (row == nullptr) {
          if (++attempt->read_backs > kMaxAttempts) {
            attempt->callback(admin::AdminError{
                admin::AdminError::Kind::kUnknownResult,
                "the store did not say whether the edit took effect",
                {}});
          } else {
            this->ReadBack(attempt);
          }
          return;
        }
        // The settling write has moved the head row's version.
        const EditResult known = ReadBackEdit(attempt->plan, *row, true);
        if (const auto* committed = std::get_if<EditCommitted>(&known)) {
          this->Report(attempt, *committed);
        } else {
          this->Commit(attempt);
        }
      });
}

auto ConfigEditor::Report(const std::shared_ptr<Attempt>& attempt,
                          const EditCommitted& committed) -> void {
  this->logger.Info(kComponent, "config_committed",
                    {{"version", committed.version},
                     {"object", attempt->plan.key},
                     {"who", attempt->edit.who}});
  this->cells.WatchAcceptance(
      committed.version, ReadBootClock() + attempt->wait,
      [attempt, committed](bool accepted, const std::set<CellName>& missing) {
        attempt->callback(admin::EditDone{
            committed.version, attempt->edit.value ? committed.row_version : 0,
            accepted, missing});
      });
}

auto ConfigEditor::ReportConflict(const std::shared_ptr<Attempt>& attempt,
                                  const EditConflict& conflict) -> void {
  const std::string key = ConfigKey(attempt->edit.kind, attempt->edit.name);
  attempt->callback(
      admin::EditConflict{conflict.edited_from, conflict.current,
                          BodyOf(*this->state.Current().config, key)});
}

}  // namespace fireflythread
