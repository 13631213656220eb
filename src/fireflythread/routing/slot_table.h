#ifndef FIREFLYTHREAD_ROUTING_SLOT_TABLE_H_
#define FIREFLYTHREAD_ROUTING_SLOT_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/routing/slot_loan.h"

namespace fireflythread {

/// This entry's view of the slots of one pool's workers. Each slot has one
/// owning entry; the owner may lend it to another. An entry sends only on
/// slots that it owns and has not lent, or that it has on loan, so that all
/// entries together never exceed a worker's slots.
class SlotTable {
 public:
  SlotTable(EntryId self,
            std::vector<EntryId> members,
            Duration max_request_time);

  /// Replaces the workers, each with its number of slots. Slots of a worker
  /// that stays keep their state; one that leaves is forgotten once none of
  /// its slots is busy.
  auto SetWorkers(const std::map<VmId, int>& workers) -> void;

  /// Workers that are ejected: their slots are neither counted as own or
  /// usable nor lent, but keep their state.
  auto SetEjected(std::set<VmId> vms) -> void;

  /// Treats all own slots as busy until then, because an earlier process of
  /// this entry may still have requests on them.
  auto BlockOwnUntil(TimePoint until) -> void;

  [[nodiscard]] auto FreeSlots(const VmId& vm, TimePoint now) const -> int;

  /// Slots that this entry may use now, busy ones included.
  [[nodiscard]] auto UsableSlots(TimePoint now) const -> int;
  [[nodiscard]] auto OwnSlots() const -> int;
  [[nodiscard]] auto BusySlots(TimePoint now) const -> int;

  /// Takes a free slot, a borrowed one last so that it goes back sooner.
  [[nodiscard]] auto Acquire(const VmId& vm, TimePoint now)
      -> std::optional<int>;

  /// Frees a slot at `until`; a time not after now frees it at once. A later
  /// time is used when the worker may still run the request.
  auto Release(const VmId& vm, int slot, TimePoint until) -> void;

  /// Lends up to `count` slots to a peer until `now + duration`: those already
  /// lent to it that it has not returned first, then free ones, but leaves
  /// `keep` free ones. A lent slot counts as used until it is returned, or
  /// until the end of the loan and the longest request time.
  [[nodiscard]] auto Lend(const EntryId& to,
                          int count,
                          int keep,
                          TimePoint now,
                          Duration duration) -> std::vector<SlotLoan>;
  auto AcceptReturned(const EntryId& from, const std::vector<SlotLoan>& loans)
      -> void;
  [[nodiscard]] auto LentSlots(TimePoint now) const -> int;

  /// Takes slots on loan until `until` of this entry's clock, counted from
  /// when it sent the request.
  auto Borrow(const EntryId& lender,
              const std::vector<SlotLoan>& loans,
              TimePoint until) -> void;

  /// Borrowed slots whose loan has ended and that are not busy, to be given
  /// back; they are no longer usable.
  [[nodiscard]] auto TakeEndedLoans(TimePoint now)
      -> std::map<EntryId, std::vector<SlotLoan>>;

 private:
  struct Slot {
    bool own = false;
    bool busy = false;
    /// The slot counts as busy until then.
    TimePoint held_until = TimePoint::min();
    EntryId lent_to;
    TimePoint lent_until = TimePoint::min();
    /// Who lent it; empty when it is not borrowed.
    EntryId lender;
    TimePoint loan_until = TimePoint::min();
  };
  using Slots = std::vector<Slot>;

  [[nodiscard]] auto IsUsable(const Slot& slot, TimePoint now) const -> bool;
  [[nodiscard]] static auto IsBusy(const Slot& slot, TimePoint now) -> bool;
  [[nodiscard]] auto IsFree(const Slot& slot, TimePoint now) const -> bool;
  [[nodiscard]] auto MayLend(const VmId& vm,
                             const Slot& slot,
                             TimePoint now) const -> bool;
  [[nodiscard]] auto Find(const SlotLoan& loan) -> Slot*;
  auto AddWorker(const VmId& vm, int slots) -> void;

  EntryId self;
  std::vector<EntryId> members;
  Duration max_request_time;
  TimePoint own_busy_until = TimePoint::min();
  std::map<VmId, Slots> slots;
  std::set<VmId> ejected;
  /// Workers no longer in the pool with slots that are still busy.
  std::map<VmId, Slots> removed;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_SLOT_TABLE_H_
