#include "fireflythread/daemon/history_reader.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "fireflythread/config/codec.h"
#include "fireflythread/config/plan_edit.h"
#include "fireflythread/config/tables.h"

namespace fireflythread {
namespace {

using nlohmann::json;

auto BodyText(const json& object, const char* field) -> std::string {
  const auto found = object.find(field);
  return found == object.end() || found->is_null() ? std::string()
                                                   : found->dump();
}

auto HistoryFrom(const Row& row) -> std::optional<admin::HistoryEntry> {
  const json object = json::parse(row.value, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  const std::string key = object.value("object", "");
  const std::size_t slash = key.find('/');
  const std::optional<ConfigKind> kind =
      ParseConfigKind(key.substr(0, std::min(slash, key.size())));
  if (slash == std::string::npos || !kind) {
    return std::nullopt;
  }
  admin::HistoryEntry entry;
  entry.version = std::strtoull(row.key.c_str(), nullptr, 10);
  entry.kind = static_cast<admin::ObjectKind>(*kind);
  entry.name = key.substr(slash + 1);
  entry.who = object.value("who", "");
  entry.when = WallTime(
      std::chrono::milliseconds(object.value("at_ms", std::int64_t{0})));
  entry.from_version = object.value("from_version", std::uint64_t{0});
  entry.old_body = BodyText(object, "old");
  entry.new_body = BodyText(object, "new");
  return entry;
}

}  // namespace

auto HistoryReader::Start(PlatformClient& platform,
                          Duration timeout,
                          admin::HistoryQuery query,
                          Callback callback) -> void {
  const std::shared_ptr<HistoryReader> reader(new HistoryReader(
      platform, timeout, std::move(query), std::move(callback)));
  reader->ReadNext();
}

HistoryReader::HistoryReader(PlatformClient& platform_client,
                             Duration read_timeout,
                             admin::HistoryQuery history_query,
                             Callback when_done)
    : platform(platform_client),
      timeout(read_timeout),
      query(std::move(history_query)),
      callback(std::move(when_done)) {
  if (this->query.before > 0) {
    this->below = HistoryKey(this->query.before);
  }
}

auto HistoryReader::ReadNext() -> void {
  PageRequest request;
  request.table = kHistoryTable;
  request.below = this->below;
  request.limit = this->query.kind ? kFilteredPage : this->query.limit;
  request.descending = true;
  this->platform.ReadPage(
      std::move(request), this->timeout,
      [self = this->shared_from_this()](auto result) {
        if (const auto* page = std::get_if<RowPage>(&result)) {
          self->TakePage(*page);
        } else {
          self->callback(
              admin::AdminError{admin::AdminError::Kind::kUnavailable,
                                "the store cannot be read",
                                {}});
        }
      });
}

auto HistoryReader::TakePage(const RowPage& page) -> void {
  const auto limit = static_cast<std::size_t>(this->query.limit);
  for (const Row& row : page.rows) {
    std::optional<admin::HistoryEntry> entry = HistoryFrom(row);
    const bool wanted =
        entry && (!this->query.kind || (entry->kind == *this->query.kind &&
                                        entry->name == this->query.name));
    if (wanted && this->entries.size() < limit) {
      this->entries.push_back(std::move(*entry));
    }
  }
  ++this->pages;
  if (page.more && this->entries.size() < limit && this->pages < kMostPages) {
    this->below = page.rows.back().key;
    this->ReadNext();
  } else {
    this->callback(std::move(this->entries));
  }
}

}  // namespace fireflythread
