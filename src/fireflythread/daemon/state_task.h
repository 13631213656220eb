#ifndef FIREFLYTHREAD_DAEMON_STATE_TASK_H_
#define FIREFLYTHREAD_DAEMON_STATE_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"
#include "fireflythread/daemon/control_state.h"
#include "fireflythread/daemon/head_write.h"
#include "fireflythread/fleet/fwd.h"
#include "fireflythread/membership/acceptance_watch.h"
#include "fireflythread/membership/membership.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

class Logger;
struct PeerMessage;

/// Where the state task sends its results. All are called on the main loop.
struct StateTaskOutputs {
  std::function<void(ControlState)> control_state;
  /// The time up to which callers may be served.
  std::function<void(TimePoint)> confirmed_until;
  std::function<void(const EntryId&, peer::Envelope)> send;
};

/// Owns the entry's control state: reads it from the store, exchanges it with
/// peers, keeps its freshness, and writes the head rows.
class StateTask {
 public:
  using CommitCallback = std::function<void(TransactionOutcome)>;

  StateTask(const DaemonSettings& settings,
            std::uint64_t incarnation,
            PlatformClient& platform,
            const Logger& logger,
            StateTaskOutputs outputs);
  ~StateTask();
  StateTask(const StateTask&) = delete;
  auto operator=(const StateTask&) -> StateTask& = delete;

  /// Begins to exchange control state with peers.
  auto Start() -> void;
  /// Begins to read the store; to be called once the cell's row is in table
  /// `cell`, so that no accepted configuration is missed.
  auto StartStoreReads() -> void;
  auto HandlePeer(const PeerMessage& message) -> void;

  /// Commits a transaction that raises the head of one table. While the result
  /// is not certain the entry does not vouch for its versions. An unknown
  /// result is settled first, so the callback never gets CommitUnknown;
  /// NotCommitted with kSettledReason means that the rows have to be read
  /// again to see which writes took effect.
  auto CommitHead(HeadWrite write, CommitCallback callback) -> void;

  [[nodiscard]] auto Current() const -> const ControlState&;
  [[nodiscard]] auto FleetHeadRowVersion() const -> std::uint64_t;
  [[nodiscard]] auto Members() const -> const Membership&;
  /// True while a head write is outstanding or being settled.
  [[nodiscard]] auto HasUnresolvedWrite() const -> bool;
  /// True when the last poll of the store succeeded.
  [[nodiscard]] auto StoreReachable() const -> bool;

  /// Reads the `config` table anew and calls back, also when that fails.
  auto RefreshConfig(std::function<void()> done) -> void;

  /// Calls back once a majority has applied this configuration version, or
  /// with false when `deadline` has passed.
  auto WatchAcceptance(std::uint64_t config_version,
                       TimePoint deadline,
                       std::function<void(bool)> callback) -> void;

 private:
  struct Poll;
  struct AcceptanceWaiter;

  auto PollStore() -> void;
  auto FinishPoll(const std::shared_ptr<Poll>& poll) -> void;
  auto ApplyPoll(const Poll& poll) -> void;
  auto ApplyConfig(const ConfigChange& change) -> bool;
  auto ApplyFleet(const FleetChanges& changes) -> bool;
  auto ReplaceState(const std::vector<Row>& rows, HeadKind kind) -> bool;
  auto NoteHeadRows(const std::vector<Row>& rows) -> void;

  auto SendPings() -> void;
  auto AskForRecovery() -> void;
  auto HandlePing(const PeerMessage& message) -> void;
  auto HandlePong(const PeerMessage& message) -> void;
  auto HandlePush(const PeerMessage& message) -> void;
  auto HandleSnapshotRequest(const PeerMessage& message) -> void;
  auto HandleSnapshotReply(const PeerMessage& message) -> void;
  auto FetchNewer(const EntryId& from) -> void;

  auto ApplyCommitted(const HeadWrite& write, std::uint64_t revision) -> void;
  auto PushToPeers(const peer::Envelope& envelope) -> void;
  auto Settle(const std::shared_ptr<HeadWrite>& write,
              const std::shared_ptr<CommitCallback>& callback) -> void;
  auto Resolve(const HeadWrite& write) -> void;

  auto AllRows() const -> std::vector<Row>;
  auto Publish() -> void;
  auto PublishFreshness() -> void;
  auto CheckAcceptance(TimePoint now) -> void;

  const DaemonSettings& settings;
  PlatformClient& platform;
  const Logger& logger;
  StateTaskOutputs outputs;

  Membership membership;
  ControlState state;
  std::uint64_t config_revision = 0;
  std::uint64_t fleet_revision = 0;
  std::uint64_t fleet_head_row_version = 0;
  bool store_reads_allowed = false;
  bool store_reachable = false;
  std::shared_ptr<Poll> poll;
  TimePoint started_at;
  std::vector<std::unique_ptr<AcceptanceWaiter>> waiters;
  std::unique_ptr<PeriodicTimer> poll_timer;
  std::unique_ptr<PeriodicTimer> ping_timer;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_STATE_TASK_H_
