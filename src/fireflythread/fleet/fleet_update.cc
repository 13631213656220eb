#include "fireflythread/fleet/fleet_update.h"

#include <utility>
#include <variant>

#include "fireflythread/fleet/fleet_changes.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/vm_record_codec.h"

namespace fireflythread {
namespace {

auto DecodeAll(const std::vector<Row>& rows, std::vector<RowError>& errors)
    -> std::vector<VmRecord> {
  std::vector<VmRecord> records;
  records.reserve(rows.size());
  for (const Row& row : rows) {
    if (row.key == kFleetHeadKey) {
      continue;
    }
    std::variant<VmRecord, RowError> decoded = DecodeVmRecord(row);
    if (VmRecord* record = std::get_if<VmRecord>(&decoded)) {
      records.push_back(std::move(*record));
    } else {
      errors.push_back(std::get<RowError>(decoded));
    }
  }
  return records;
}

auto RemoveDeleted(FleetView& view, const std::vector<DeletedRow>& deleted)
    -> void {
  for (const DeletedRow& row : deleted) {
    const auto slash = row.key.find('/');
    if (slash == std::string::npos) {
      continue;
    }
    const auto found = view.vms.find(VmId(row.key.substr(slash + 1)));
    if (found != view.vms.end() && found->second.version < row.revision) {
      view.vms.erase(found);
    }
  }
}

}  // namespace

auto ApplyFleetChanges(FleetView& view,
                       const FleetChanges& changes,
                       std::vector<RowError>& errors) -> FleetUpdate {
  if (changes.to < view.version) {
    return FleetUpdate::kStale;
  }
  if (changes.from > view.version) {
    return FleetUpdate::kGap;
  }
  const std::size_t errors_before = errors.size();
  std::vector<VmRecord> records = DecodeAll(changes.rows, errors);
  if (errors.size() != errors_before) {
    return FleetUpdate::kMalformed;
  }
  for (VmRecord& record : records) {
    VmRecord& current = view.vms[record.id];
    if (record.version > current.version) {
      current = std::move(record);
    }
  }
  RemoveDeleted(view, changes.deleted);
  view.version = changes.to;
  return FleetUpdate::kApplied;
}

}  // namespace fireflythread
