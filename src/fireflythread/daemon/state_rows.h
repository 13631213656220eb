#ifndef FIREFLYTHREAD_DAEMON_STATE_ROWS_H_
#define FIREFLYTHREAD_DAEMON_STATE_ROWS_H_

#include <string>
#include <vector>

#include "fireflythread/fleet/deleted_row.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

using StateRowList = google::protobuf::RepeatedPtrField<peer::StateRow>;

/// The rows that are not marked as deleted.
[[nodiscard]] auto RowsFromProto(const StateRowList& rows) -> std::vector<Row>;

/// The keys of the rows that are marked as deleted.
[[nodiscard]] auto DeletedKeysFromProto(const StateRowList& rows)
    -> std::vector<std::string>;

/// The same with the revision of each deletion.
[[nodiscard]] auto DeletedRowsFromProto(const StateRowList& rows)
    -> std::vector<DeletedRow>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_STATE_ROWS_H_
