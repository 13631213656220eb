#include "test/fireflythread/gateway/fake_platform.h"

#include <glib.h>

#include <functional>

namespace fireflythread {

namespace {

auto RunLater(std::function<void()> work) -> void {
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      [](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(work)),
      [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
}

}  // namespace

auto FakePlatform::Find(const std::string& table, const std::string& key)
    -> Row* {
  const auto found = this->rows.find({table, key});
  return found == this->rows.end() ? nullptr : &found->second;
}

auto FakePlatform::Apply(const Transaction& transaction) -> TransactionOutcome {
  Conflict conflict;
  for (const Condition& condition : transaction.conditions) {
    const Row* row = this->Find(condition.table, condition.key);
    if ((row == nullptr ? 0 : row->version) != condition.version) {
      conflict.current.push_back(
          row == nullptr ? Row{condition.table, condition.key, 0, ""} : *row);
    }
  }
  if (!conflict.current.empty()) {
    return conflict;
  }
  ++this->revision;
  for (const Write& write : transaction.writes) {
    if (write.value) {
      this->rows[{write.table, write.key}] = {write.table, write.key,
                                              this->revision, *write.value};
    } else {
      this->rows.erase({write.table, write.key});
    }
  }
  return Committed{this->revision};
}

auto FakePlatform::Commit(Transaction transaction,
                          Duration timeout,
                          CommitCallback callback) -> void {
  this->CommitBatch({std::move(transaction)}, timeout,
                    [callback](std::vector<TransactionOutcome> outcomes) {
                      callback(std::move(outcomes.front()));
                    });
}

auto FakePlatform::CommitBatch(std::vector<Transaction> transactions,
                               Duration /*timeout*/,
                               BatchCallback callback) -> void {
  ++this->batches;
  std::vector<TransactionOutcome> outcomes;
  for (const Transaction& transaction : transactions) {
    switch (this->mode) {
      case Mode::kAvailable:
        outcomes.push_back(this->Apply(transaction));
        break;
      case Mode::kRefusing:
        outcomes.emplace_back(NotCommitted{"unavailable"});
        break;
      case Mode::kLosingAnswers:
        this->Apply(transaction);
        outcomes.emplace_back(CommitUnknown{"answer lost"});
        break;
      case Mode::kSilent:
        outcomes.emplace_back(CommitUnknown{"timeout"});
        break;
    }
  }
  RunLater([callback, outcomes] { callback(outcomes); });
}

auto FakePlatform::Read(std::string table,
                        std::string key,
                        Duration /*timeout*/,
                        Callback<std::optional<Row>> callback) -> void {
  ++this->reads;
  if (this->mode == Mode::kRefusing || this->mode == Mode::kSilent) {
    RunLater([callback] { callback(PlatformError{"unavailable"}); });
    return;
  }
  const Row* row = this->Find(table, key);
  std::optional<Row> value;
  if (row != nullptr) {
    value = *row;
  }
  RunLater([callback, value] { callback(value); });
}

auto FakePlatform::Scan(std::string /*table*/,
                        std::uint64_t /*after_revision*/,
                        Duration /*timeout*/,
                        Callback<ScanResult> callback) -> void {
  RunLater([callback] { callback(ScanResult{}); });
}

auto FakePlatform::ReadPage(PageRequest /*request*/,
                            Duration /*timeout*/,
                            Callback<RowPage> callback) -> void {
  RunLater([callback] { callback(RowPage{}); });
}

auto FakePlatform::DeleteObject(std::string key,
                                Duration /*timeout*/,
                                Callback<std::monostate> callback) -> void {
  this->objects.erase(key);
  RunLater([callback] { callback(std::monostate()); });
}

auto FakePlatform::ListVms(std::uint64_t /*since*/,
                           Duration /*timeout*/,
                           Callback<VmListResult> callback) -> void {
  RunLater([callback] { callback(VmListResult{}); });
}

auto FakePlatform::CommandVm(VmCommand /*command*/,
                             Duration /*timeout*/,
                             Callback<std::monostate> callback) -> void {
  RunLater([callback] { callback(std::monostate{}); });
}

auto FakePlatform::CommandTask(WorkerTaskCommand /*command*/,
                               Duration /*timeout*/,
                               Callback<std::monostate> callback) -> void {
  RunLater([callback] { callback(std::monostate{}); });
}

auto FakePlatform::ListTaskReports(
    Duration /*timeout*/,
    Callback<std::vector<WorkerTaskReport>> callback) -> void {
  RunLater([callback] { callback(std::vector<WorkerTaskReport>{}); });
}

auto FakePlatform::PutObject(std::string key,
                             std::string body,
                             Duration /*timeout*/,
                             Callback<std::monostate> callback) -> void {
  this->objects[std::move(key)] = std::move(body);
  RunLater([callback] { callback(std::monostate{}); });
}

auto FakePlatform::GetObject(std::string key,
                             Duration /*timeout*/,
                             Callback<std::optional<std::string>> callback)
    -> void {
  std::optional<std::string> value;
  if (const auto found = this->objects.find(key);
      found != this->objects.end()) {
    value = found->second;
  }
  RunLater([callback, value] { callback(value); });
}

}  // namespace fireflythread
