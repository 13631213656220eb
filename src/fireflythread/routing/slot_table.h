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

/// This entry's view of the slots of one pool's workers. Each slot is owned by
/// one entry, which may lend it to another. An entry uses only slots that it
/// owns and has not lent, or that it has borrowed, so that all entries together
/// never exceed a worker's slots.
class SlotTable {
 public:
  SlotTable(EntryId self,
            std::vector<EntryId> members,
            Duration max_request_time);

  /// Replaces the workers, each with its number of slots. Slots of a worker
  /// that stays keep their state. The slots of a worker that leaves are
  /// discarded once none of them is busy or on loan.
  auto SetWorkers(const std::map<VmId, int>& workers) -> void;

  /// Replaces the set of ejected workers. Their slots are neither counted as
  /// own or usable nor lent, but keep their state.
  auto SetEjected(std::set<VmId> vms) -> void;

  /// Makes all own slots unusable until then, because requests of an earlier
  /// incarnation of this entry may still run on them.
  auto BlockOwnUntil(TimePoint until) -> void;

  [[nodiscard]] auto FreeSlots(const VmId& vm, TimePoint now) const -> int;

  /// Counts the slots that this entry may use now, including busy ones.
  [[nodiscard]] auto UsableSlots(TimePoint now) const -> int;
  [[nodiscard]] auto OwnSlots() const -> int;
  [[nodiscard]] auto BusySlots(TimePoint now) const -> int;

  /// Reserves a free slot of a worker; no value when none is free. A borrowed
  /// slot is used last, so that it can be returned earlier.
  [[nodiscard]] auto Acquire(const VmId& vm, TimePoint now)
      -> std::optional<int>;

  /// Frees a slot at `until`, or at once if `until` has passed. A later time is
  /// passed when the worker may still run the request.
  auto Release(const VmId& vm, int slot, TimePoint until) -> void;

  /// Lends up to `count` slots to a peer until `now + duration`. Renews loans
  /// that the peer has not returned first, then lends free slots, of which at
  /// least `keep` stay with this entry. A lent slot is unusable here until it
  /// is returned, or until the maximum request time after the end of the loan.
  [[nodiscard]] auto Lend(const EntryId& to,
                          int count,
                          int keep,
                          TimePoint now,
                          Duration duration) -> std::vector<SlotLoan>;
  /// Makes lent slots usable again that their borrower has returned. Ignores
  /// slots that are not lent to `from`.
  auto AcceptReturned(const EntryId& from, const std::vector<SlotLoan>& loans)
      -> void;
  [[nodiscard]] auto LentSlots(TimePoint now) const -> int;

  /// Records slots as borrowed until `until`, by this entry's clock. The loan's
  /// duration must be counted from when this entry sent the request, which is
  /// before the lender starts to count. Ignores slots that `lender` does not
  /// own.
  auto Borrow(const EntryId& lender,
              const std::vector<SlotLoan>& loans,
              TimePoint until) -> void;

  /// Removes and returns, by lender, the borrowed slots whose loan has ended
  /// and that are not busy; the caller returns them to the lenders.
  [[nodiscard]] auto TakeEndedLoans(TimePoint now)
      -> std::map<EntryId, std::vector<SlotLoan>>;

 private:
  struct Slot {
    bool own = false;
    bool busy = false;
    /// The slot counts as busy until this time even when `busy` is false.
    TimePoint held_until = TimePoint::min();
    EntryId lent_to;
    TimePoint lent_until = TimePoint::min();
    /// The entry that lent the slot; empty when it is not borrowed.
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
  /// Slots of workers that left the pool, kept until none of a worker's slots
  /// is busy or on loan.
  std::map<VmId, Slots> removed;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_SLOT_TABLE_H_
