#ifndef FIREFLYTHREAD_FLEET_VM_RECORD_CODEC_H_
#define FIREFLYTHREAD_FLEET_VM_RECORD_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "fireflythread/base/ids.h"
#include "fireflythread/fleet/row_error.h"
#include "fireflythread/fleet/vm_record.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// Table and keys of the fleet rows: `head` and `vm/ID`.
inline constexpr std::string_view kFleetTable = "fleet";
inline constexpr std::string_view kFleetHeadKey = "head";

/// The key of a VM's row, `vm/ID`.
[[nodiscard]] auto FleetKey(const VmId& vm) -> std::string;

/// The value of a VM's row. The id and the version are not part of it.
[[nodiscard]] auto EncodeVmRecord(const VmRecord& record) -> std::string;

/// Reads a VM's row; a row that is malformed in any way gives a RowError.
[[nodiscard]] auto DecodeVmRecord(const Row& row)
    -> std::variant<VmRecord, RowError>;

/// The value of the `head` row, a JSON number.
[[nodiscard]] auto EncodeFleetHead(std::uint64_t version) -> std::string;

/// Reads the `head` row.
[[nodiscard]] auto DecodeFleetHead(const Row& row)
    -> std::variant<std::uint64_t, RowError>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_VM_RECORD_CODEC_H_
