#ifndef FIREFLYTHREAD_ADMIN_FWD_H_
#define FIREFLYTHREAD_ADMIN_FWD_H_

#include <cstdint>

namespace fireflythread::admin {

enum class AdminRole : std::uint8_t;
enum class ObjectKind : std::uint8_t;
enum class WaveState : std::uint8_t;
struct AdminError;
struct AdminRequest;
struct AdminResponse;
struct AdminServerOptions;
struct BlockedVm;
struct ConfigObject;
struct ConfigVersionStatus;
struct ControllerStatus;
struct DeclareRequest;
struct EditConflict;
struct EditDone;
struct EditRequest;
struct EntryStatus;
struct FleetStatus;
struct HistoryEntry;
struct HistoryQuery;
struct PoolStatus;
struct Readiness;
struct VmFilter;
struct VmStatus;
struct WaveSelector;
struct WaveStatus;
struct WaveStep;
class AdminBackend;
class AdminServer;
class AdminTokens;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_FWD_H_
