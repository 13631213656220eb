#include "standin/platform/table_json.h"

#include <set>
#include <stdexcept>
#include <utility>
#include <variant>

namespace fireflythread::standin {

using Json = nlohmann::json;

auto TransactionFromJson(const Json& json) -> Transaction {
  Transaction transaction;
  transaction.nonce = json.at("nonce");
  for (const Json& item : json.at("conditions")) {
    transaction.conditions.push_back({.table = item.at("table"),
                                      .key = item.at("key"),
                                      .version = item.at("version")});
  }
  std::set<std::pair<std::string, std::string>> written;
  for (const Json& item : json.at("writes")) {
    Write write;
    write.table = item.at("table");
    write.key = item.at("key");
    if (!item.at("value").is_null()) {
      write.value = item.at("value").get<std::string>();
    }
    if (!written.emplace(write.table, write.key).second) {
      throw std::invalid_argument("a row is written twice");
    }
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

auto OutcomeToJson(const TransactionOutcome& outcome) -> Json {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    return {{"outcome", "committed"}, {"revision", committed->revision}};
  }
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    Json rows = Json::array();
    for (const Row& row : conflict->current) {
      rows.push_back(RowToJson(row));
    }
    return {{"outcome", "conflict"}, {"current", std::move(rows)}};
  }
  return {{"outcome", "not-committed"}, {"reason", "refused"}};
}

auto RowToJson(const Row& row) -> Json {
  return {{"table", row.table},
          {"key", row.key},
          {"version", row.version},
          {"value", row.value}};
}

auto ScanToJson(const ScanResult& scan) -> Json {
  Json rows = Json::array();
  for (const Row& row : scan.rows) {
    rows.push_back(RowToJson(row));
  }
  return {{"revision", scan.revision},
          {"rows", std::move(rows)},
          {"deleted", scan.deleted}};
}

auto PageToJson(const RowPage& page) -> Json {
  Json rows = Json::array();
  for (const Row& row : page.rows) {
    rows.push_back(RowToJson(row));
  }
  return {{"rows", std::move(rows)}, {"more", page.more}};
}

}  // namespace fireflythread::standin
