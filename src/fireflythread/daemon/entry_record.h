#ifndef FIREFLYTHREAD_DAEMON_ENTRY_RECORD_H_
#define FIREFLYTHREAD_DAEMON_ENTRY_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/cells/cell_claim.h"

namespace fireflythread {

inline constexpr char kEntryTable[] = "entry";

enum class EntryState : std::uint8_t { kRunning, kStopped };

/// An entry's registration, the row `entry/ID`.
struct EntryRecord {
  EntryId id;
  std::uint64_t version = 0;
  /// Random number drawn at process start.
  std::uint64_t incarnation = 0;
  /// kStopped only after a graceful stop, with no request left in flight.
  EntryState state = EntryState::kRunning;
  ZoneName zone;
  /// The cell of the entry and the zones that it states for it.
  CellClaim claim;
  std::string caller_address;
  std::string admin_address;
  std::string peer_address;
};

[[nodiscard]] auto EncodeEntryRecord(const EntryRecord& record) -> std::string;

/// No value when the text is not a registration.
[[nodiscard]] auto DecodeEntryRecord(const EntryId& id,
                                     std::uint64_t version,
                                     const std::string& json)
    -> std::optional<EntryRecord>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_ENTRY_RECORD_H_
