#include "fireflythread/peer/state_codec.h"

#include <utility>

#include "fireflythread/config/tables.h"

namespace fireflythread {

auto ToMessage(const Row& row) -> peer::StateRow {
  peer::StateRow message;
  message.set_table(row.table);
  message.set_key(row.key);
  message.set_version(row.version);
  message.set_value(row.value);
  return message;
}

auto FromMessage(const peer::StateRow& message) -> std::optional<Row> {
  if (message.table().empty() || message.key().empty() ||
      message.version() == 0 || message.deleted()) {
    return std::nullopt;
  }
  return Row{.table = message.table(),
             .key = message.key(),
             .version = message.version(),
             .value = message.value()};
}

auto ToMessage(const PingQuestion& question) -> peer::Ping {
  peer::Ping message;
  message.set_round(question.round);
  message.set_config_version(question.versions.config);
  message.set_fleet_version(question.versions.fleet);
  return message;
}

auto FromMessage(const peer::Ping& message) -> PingQuestion {
  return {.round = message.round(),
          .versions = {.config = message.config_version(),
                       .fleet = message.fleet_version()}};
}

auto ToMessage(const PongAnswer& answer) -> peer::Pong {
  peer::Pong message;
  message.set_round(answer.round);
  message.set_config_version(answer.versions.config);
  message.set_fleet_version(answer.versions.fleet);
  message.set_recovering(answer.recovering);
  message.set_unresolved_write(answer.unresolved_write);
  return message;
}

auto FromMessage(const peer::Pong& message) -> PongAnswer {
  return {.round = message.round(),
          .versions = {.config = message.config_version(),
                       .fleet = message.fleet_version()},
          .recovering = message.recovering(),
          .unresolved_write = message.unresolved_write()};
}

auto ToMessage(const SnapshotOffer& offer) -> peer::SnapshotReply {
  peer::SnapshotReply message;
  message.set_round(offer.round);
  message.set_recovering(offer.recovering);
  message.set_unresolved_write(offer.unresolved_write);
  message.set_config_version(offer.versions.config);
  message.set_fleet_version(offer.versions.fleet);
  for (const Row& row : offer.rows) {
    *message.add_rows() = ToMessage(row);
  }
  return message;
}

auto FromMessage(const peer::SnapshotReply& message) -> SnapshotOffer {
  SnapshotOffer offer;
  offer.round = message.round();
  offer.recovering = message.recovering();
  offer.unresolved_write = message.unresolved_write();
  offer.versions = {.config = message.config_version(),
                    .fleet = message.fleet_version()};
  for (const peer::StateRow& row : message.rows()) {
    if (auto decoded = FromMessage(row)) {
      offer.rows.push_back(std::move(*decoded));
    }
  }
  return offer;
}

auto ToMessage(const ConfigChange& change, std::uint64_t to_version)
    -> peer::StatePush {
  peer::StatePush message;
  message.set_table(kConfigTable);
  message.set_from_version(change.from_version.value_or(0));
  message.set_to_version(to_version);
  for (const Row& row : change.rows) {
    *message.add_rows() = ToMessage(row);
  }
  for (const std::string& key : change.deleted) {
    peer::StateRow* row = message.add_rows();
    row->set_table(kConfigTable);
    row->set_key(key);
    row->set_deleted(true);
  }
  return message;
}

auto FromMessage(const peer::StatePush& message)
    -> std::optional<ConfigChange> {
  ConfigChange change;
  if (message.table() != kConfigTable) {
    return std::nullopt;
  }
  change.from_version = message.from_version();
  for (const peer::StateRow& row : message.rows()) {
    if (row.deleted() && !row.key().empty()) {
      change.deleted.push_back(row.key());
    } else if (auto decoded = FromMessage(row)) {
      change.rows.push_back(std::move(*decoded));
    } else {
      return std::nullopt;
    }
  }
  return change;
}

}  // namespace fireflythread
