#ifndef FIREFLYTHREAD_TEST_MEMBERSHIP_CELL_SIMULATION_H_
#define FIREFLYTHREAD_TEST_MEMBERSHIP_CELL_SIMULATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/base/random.h"
#include "fireflythread/fleet/drain_tracker.h"
#include "fireflythread/membership/acceptance.h"
#include "fireflythread/membership/membership.h"
#include "fireflythread/membership/ping.h"

namespace fireflythread::testing {

/// Defences that a run leaves out, to show that their absence is detected.
struct CellPolicy {
  bool date_to_answer = false;
  bool vouch_while_recovering = false;
  bool recover_from_one = false;
  bool accept_single_reports = false;
  bool no_freshness_check = false;
  bool no_drain_ack = false;
};

inline constexpr std::size_t kMembers = 5;

/// Drives the membership core of five entries and the drain tracker through a
/// random schedule of the events of model/config.pml and model/move.pml:
/// messages that are late, doubled, dropped and out of order, store outages
/// and lost answers, edits, freezes, cuts, deaths and new incarnations. The
/// fleet version is even while the one VM serves a pool and odd while it
/// drains.
class CellSimulation {
 public:
  CellSimulation(std::uint64_t seed, CellPolicy policy);

  /// Runs for this long in virtual time or until a guarantee is broken.
  auto Run(Duration length) -> void;

  /// The broken guarantee; empty if none was.
  std::string violation;
  int sends = 0;
  int accepted_versions = 0;
  int moves = 0;
  int quorum_recoveries = 0;

 private:
  struct StoreRead {
    TimePoint sent_at;
    HeadVersions versions;
  };
  struct SnapshotQuestion {
    std::uint64_t round = 0;
  };
  struct DrainAck {
    std::uint64_t generation = 0;
  };
  struct Message {
    TimePoint deliver_at;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    /// A message of the store reaches only the incarnation that asked.
    std::uint64_t to_incarnation = 0;
    std::variant<PingQuestion,
                 PongAnswer,
                 SnapshotQuestion,
                 SnapshotOffer,
                 DrainAck,
                 StoreRead>
        body;
  };
  struct Entry {
    Membership state;
    std::uint64_t incarnation = 0;
    TimePoint frozen_until;
    TimePoint next_action;
    TimePoint cut_until;
    TimePoint store_cut_until;
    std::optional<AcceptanceWatch> watch;
    std::set<std::size_t> single_reports;
    std::optional<TimePoint> write_done_at;
    TimePoint in_flight_until;
    std::uint64_t in_flight_version = 0;
  };
  struct Accepted {
    std::uint64_t version = 0;
    TimePoint at;
  };

  auto Chance(int percent) -> bool;
  auto Below(int limit_ms) -> Duration;
  auto Restart(Entry& entry) -> void;
  auto Disturb(Entry& entry) -> void;
  auto Act(std::size_t index) -> void;
  auto AskStore(std::size_t index) -> void;
  auto Edit(std::size_t index) -> void;
  auto Post(std::size_t from, std::size_t to, decltype(Message::body) body)
      -> void;
  auto DeliverDue() -> void;
  auto TakeBody(std::size_t to, const Message& message) -> void;
  auto TakeStoreAnswer(Entry& entry, const StoreRead& read) -> void;
  auto TakeOfferMessage(std::size_t to, const Message& message) -> void;
  auto Observe(Entry& entry, const Message& message, const PongAnswer& answer)
      -> void;
  auto Serve(Entry& entry) -> void;
  auto StepController() -> void;
  [[nodiscard]] auto Members() const -> std::map<EntryId, MemberState>;

  Random random;
  CellPolicy policy;
  TimePoint now;
  std::array<Entry, kMembers> entries;
  std::vector<Message> messages;
  HeadVersions store;
  TimePoint store_down_until;
  std::vector<Accepted> accepted;
  DrainTracker tracker;
  std::array<TimePoint, kMembers> heard;
};

}  // namespace fireflythread::testing

#endif  // FIREFLYTHREAD_TEST_MEMBERSHIP_CELL_SIMULATION_H_
