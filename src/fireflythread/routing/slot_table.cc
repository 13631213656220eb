#include "fireflythread/routing/slot_table.h"

#include <algorithm>
#include <cstddef>

#include "fireflythread/base/assert.h"
#include "fireflythread/routing/rendezvous.h"

namespace fireflythread {

SlotTable::SlotTable(EntryId self_id,
                     std::vector<EntryId> all_members,
                     Duration max_time)
    : self(std::move(self_id)),
      members(std::move(all_members)),
      max_request_time(max_time) {}

auto SlotTable::SetWorkers(const std::map<VmId, int>& workers) -> void {
  for (auto it = this->slots.begin(); it != this->slots.end();) {
    const auto wanted = workers.find(it->first);
    if (wanted != workers.end() &&
        wanted->second == static_cast<int>(it->second.size())) {
      ++it;
      continue;
    }
    // The slots are kept in `removed`, so that the completion of a running
    // request finds its slot and a worker that rejoins the pool keeps its busy
    // slots.
    this->removed[it->first] = std::move(it->second);
    it = this->slots.erase(it);
  }
  for (const auto& [vm, count] : workers) {
    if (!this->slots.contains(vm)) {
      this->AddWorker(vm, count);
    }
  }
}

auto SlotTable::AddWorker(const VmId& vm, int count) -> void {
  const std::vector<EntryId> ranked = RankMembers(vm.value, this->members);
  Slots added(static_cast<std::size_t>(count));
  if (auto old = this->removed.extract(vm)) {
    const std::size_t kept = std::min(added.size(), old.mapped().size());
    std::copy_n(old.mapped().begin(), kept, added.begin());
  }
  for (int slot = 0; slot < count; ++slot) {
    added[static_cast<std::size_t>(slot)].own =
        SlotOwner(slot, ranked) == this->self;
  }
  this->slots.emplace(vm, std::move(added));
}

auto SlotTable::SetEjected(std::set<VmId> vms) -> void {
  this->ejected = std::move(vms);
}

auto SlotTable::BlockOwnUntil(TimePoint until) -> void {
  this->own_busy_until = until;
}

auto SlotTable::IsUsable(const Slot& slot, TimePoint now) const -> bool {
  if (slot.own) {
    return now >= this->own_busy_until && now >= slot.lent_until;
  }
  return now < slot.loan_until;
}

auto SlotTable::IsBusy(const Slot& slot, TimePoint now) -> bool {
  return slot.busy || now < slot.held_until;
}

auto SlotTable::IsFree(const Slot& slot, TimePoint now) const -> bool {
  return this->IsUsable(slot, now) && !IsBusy(slot, now);
}

auto SlotTable::FreeSlots(const VmId& vm, TimePoint now) const -> int {
  const auto found = this->slots.find(vm);
  if (found == this->slots.end()) {
    return 0;
  }
  return static_cast<int>(
      std::count_if(found->second.begin(), found->second.end(),
                    [&](const Slot& slot) { return this->IsFree(slot, now); }));
}

auto SlotTable::UsableSlots(TimePoint now) const -> int {
  int count = 0;
  for (const auto& [vm, all] : this->slots) {
    if (this->ejected.contains(vm)) {
      continue;
    }
    count += static_cast<int>(std::count_if(
        all.begin(), all.end(),
        [&](const Slot& slot) { return this->IsUsable(slot, now); }));
  }
  return count;
}

auto SlotTable::OwnSlots() const -> int {
  int count = 0;
  for (const auto& [vm, all] : this->slots) {
    if (this->ejected.contains(vm)) {
      continue;
    }
    count += static_cast<int>(std::count_if(
        all.begin(), all.end(), [](const Slot& slot) { return slot.own; }));
  }
  return count;
}

auto SlotTable::BusySlots(TimePoint now) const -> int {
  int count = 0;
  for (const auto& [vm, all] : this->slots) {
    count += static_cast<int>(
        std::count_if(all.begin(), all.end(),
                      [&](const Slot& slot) { return IsBusy(slot, now); }));
  }
  return count;
}

auto SlotTable::Acquire(const VmId& vm, TimePoint now) -> std::optional<int> {
  const auto found = this->slots.find(vm);
  if (found == this->slots.end()) {
    return std::nullopt;
  }
  std::optional<int> chosen;
  for (std::size_t i = 0; i < found->second.size(); ++i) {
    const Slot& slot = found->second[i];
    if (this->IsFree(slot, now) && (!chosen || slot.own)) {
      chosen = static_cast<int>(i);
      if (slot.own) {
        break;
      }
    }
  }
  if (chosen) {
    found->second[static_cast<std::size_t>(*chosen)].busy = true;
  }
  return chosen;
}

auto SlotTable::Find(const SlotLoan& loan) -> Slot* {
  for (std::map<VmId, Slots>* part : {&this->slots, &this->removed}) {
    const auto found = part->find(loan.vm);
    if (found != part->end() && loan.slot >= 0 &&
        static_cast<std::size_t>(loan.slot) < found->second.size()) {
      return &found->second[static_cast<std::size_t>(loan.slot)];
    }
  }
  return nullptr;
}

auto SlotTable::Release(const VmId& vm, int slot, TimePoint until) -> void {
  Slot* found = this->Find({vm, slot});
  if (found != nullptr) {
    found->busy = false;
    found->held_until = until;
  }
}

auto SlotTable::MayLend(const VmId& vm, const Slot& slot, TimePoint now) const
    -> bool {
  return slot.own && this->IsFree(slot, now) && !this->ejected.contains(vm);
}

auto SlotTable::Lend(const EntryId& to,
                     int count,
                     int keep,
                     TimePoint now,
                     Duration duration) -> std::vector<SlotLoan> {
  std::vector<SlotLoan> loans;
  const TimePoint counted_until = now + duration + this->max_request_time;
  const auto lend = [&](const VmId& vm, std::size_t index, Slot& slot) {
    slot.lent_to = to;
    slot.lent_until = counted_until;
    loans.push_back({vm, static_cast<int>(index)});
  };
  int spare = -keep;
  for (auto& [vm, all] : this->slots) {
    for (std::size_t i = 0; i < all.size(); ++i) {
      Slot& slot = all[i];
      const bool renewed =
          slot.own && slot.lent_to == to && now < slot.lent_until;
      if (renewed && static_cast<int>(loans.size()) < count) {
        lend(vm, i, slot);
      } else if (this->MayLend(vm, slot, now)) {
        ++spare;
      }
    }
  }
  // Takes one slot of each worker per round, to spread the borrower's load over
  // the workers.
  for (std::size_t i = 0; spare > 0; ++i) {
    bool any_worker_has_slot = false;
    for (auto& [vm, all] : this->slots) {
      any_worker_has_slot = any_worker_has_slot || i < all.size();
      if (spare > 0 && static_cast<int>(loans.size()) < count &&
          i < all.size() && this->MayLend(vm, all[i], now)) {
        lend(vm, i, all[i]);
        --spare;
      }
    }
    if (!any_worker_has_slot || static_cast<int>(loans.size()) >= count) {
      break;
    }
  }
  return loans;
}

auto SlotTable::AcceptReturned(const EntryId& from,
                               const std::vector<SlotLoan>& loans) -> void {
  for (const SlotLoan& loan : loans) {
    Slot* slot = this->Find(loan);
    if (slot != nullptr && slot->own && slot->lent_to == from) {
      slot->lent_to = EntryId();
      slot->lent_until = TimePoint::min();
    }
  }
}

auto SlotTable::LentSlots(TimePoint now) const -> int {
  int count = 0;
  for (const auto& [vm, all] : this->slots) {
    count += static_cast<int>(std::count_if(
        all.begin(), all.end(),
        [&](const Slot& slot) { return slot.own && now < slot.lent_until; }));
  }
  return count;
}

auto SlotTable::Borrow(const EntryId& lender,
                       const std::vector<SlotLoan>& loans,
                       TimePoint until) -> void {
  for (const SlotLoan& loan : loans) {
    const auto found = this->slots.find(loan.vm);
    Slot* slot = found == this->slots.end() ? nullptr : this->Find(loan);
    // Entries whose lists of members differ disagree on slot owners. A loan is
    // accepted only from the owner according to this entry's list.
    if (slot != nullptr && !slot->own &&
        SlotOwner(loan.slot, RankMembers(loan.vm.value, this->members)) ==
            lender) {
      slot->lender = lender;
      slot->loan_until = std::max(slot->loan_until, until);
    }
  }
}

auto SlotTable::TakeEndedLoans(TimePoint now)
    -> std::map<EntryId, std::vector<SlotLoan>> {
  std::map<EntryId, std::vector<SlotLoan>> ended;
  for (std::map<VmId, Slots>* part : {&this->slots, &this->removed}) {
    for (auto& [vm, all] : *part) {
      for (std::size_t i = 0; i < all.size(); ++i) {
        Slot& slot = all[i];
        if (!slot.lender.empty() && now >= slot.loan_until &&
            !IsBusy(slot, now)) {
          ended[slot.lender].push_back({vm, static_cast<int>(i)});
          slot.lender = EntryId();
        }
      }
    }
  }
  std::erase_if(this->removed, [&](const auto& entry) {
    return std::none_of(entry.second.begin(), entry.second.end(),
                        [&](const Slot& slot) {
                          return IsBusy(slot, now) || now < slot.lent_until ||
                                 !slot.lender.empty();
                        });
  });
  return ended;
}

}  // namespace fireflythread
