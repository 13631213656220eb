#include "test/fireflythread/quota/quota_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fireflythread::test {
namespace {

const OrganisationName kNorth("north");

/// Steps in which a start may still go by a cap that was lowered: it is as long
/// as a run and the messages that lower the limits may take.
constexpr std::size_t kCapMemorySteps = 120;

/// Steps after a failure in which waits are not counted.
constexpr int kSettlingSteps = 60;

auto Cores(std::int64_t millicores) -> TaskSize {
  return {millicores, 0, 0};
}

}  // namespace

QuotaSimulation::QuotaSimulation(const Setup& simulated)
    : setup(simulated), random(simulated.seed) {
  this->allocator.caps[kNorth] = Cores(this->cap);
  for (int index = 0; index < this->setup.shards; ++index) {
    Shard& shard = this->shards[ShardName("s" + std::to_string(index))];
    shard.owner.quota.caps[kNorth] = Cores(this->cap);
    shard.task = 1 + static_cast<int>(this->random() % 9);
  }
}

auto QuotaSimulation::Chance(int one_in) -> bool {
  return this->random() % static_cast<std::uint64_t>(one_in) == 0;
}

auto QuotaSimulation::HeldBy(const Shard& shard) const -> std::int64_t {
  return static_cast<std::int64_t>(shard.runs.size()) * shard.task;
}

auto QuotaSimulation::TotalHeld() const -> std::int64_t {
  std::int64_t held = 0;
  for (const auto& [name, shard] : this->shards) {
    held += this->HeldBy(shard);
  }
  return held;
}

auto QuotaSimulation::HighestRecentCap() const -> std::int64_t {
  return *std::max_element(this->recent_caps.begin(), this->recent_caps.end());
}

auto QuotaSimulation::ChangeCap() -> void {
  if (this->setup.changes_cap && this->Chance(250)) {
    this->cap = 20 + static_cast<std::int64_t>(this->random() % 180);
    this->calm_since = this->now;
  }
  this->recent_caps.push_back(this->cap);
  if (this->recent_caps.size() > kCapMemorySteps) {
    this->recent_caps.pop_front();
  }
}

auto QuotaSimulation::StepOwner(Shard& shard) -> void {
  Owner& owner = shard.owner;
  for (std::size_t index = shard.runs.size(); index-- > 0;) {
    if (shard.runs[index] <= this->now) {
      shard.runs.erase(shard.runs.begin() + static_cast<std::ptrdiff_t>(index));
      RemoveHeld(owner.quota, kNorth, Cores(shard.task));
    }
  }
  // An owner may see its grant row late.
  if (!this->Chance(3)) {
    FollowGrant(owner.quota, shard.grant.grant);
  }
  while (shard.waiting > 0 && MayHold(owner.quota, kNorth, Cores(shard.task))) {
    --shard.waiting;
    AddHeld(owner.quota, kNorth, Cores(shard.task));
    shard.runs.push_back(this->now + 5 + static_cast<int>(this->random() % 60));
    this->worst_use = std::max(
        this->worst_use, static_cast<double>(this->TotalHeld()) /
                             static_cast<double>(this->HighestRecentCap()));
  }
  this->PublishUsage(shard);
  this->RecordWait(shard);
}

auto QuotaSimulation::PublishUsage(Shard& shard) -> void {
  Owner& owner = shard.owner;
  QuotaUsage usage;
  usage.grant_number = owner.quota.grant.number;
  OrganisationUsage& north = usage.organisations[kNorth];
  north.held = SizeOf(owner.quota.held, kNorth);
  north.waiting = Cores(std::int64_t{shard.waiting} * shard.task);
  north.largest = Cores(shard.waiting > 0 ? shard.task : 0);
  if (owner.has_sent && usage == owner.sent) {
    return;
  }
  owner.sent = usage;
  owner.has_sent = true;
  auto write = [&shard, usage, fence = shard.fence,
                version = owner.usage_version]() {
    if (shard.fence == fence && shard.usage.version == version) {
      shard.usage = {usage, version + 1};
    }
  };
  if (this->Chance(8)) {
    this->late.push_back(std::move(write));
  } else {
    write();
  }
  // A conflict tells the row's version.
  owner.usage_version = shard.usage.version;
  owner.has_sent = shard.usage.usage == usage;
}

auto QuotaSimulation::WriteGrant(const GrantChange& change) -> void {
  Shard& shard = this->shards.at(change.shard);
  int& known = this->grant_versions[change.shard];
  auto write = [this, &shard, grant = change.grant,
                fence = this->allocator_fence, version = known]() {
    if (this->allocator_fence == fence && shard.grant.version == version) {
      shard.grant = {grant, version + 1};
    }
  };
  bool stored = false;
  if (this->Chance(8)) {
    this->late.push_back(std::move(write));
  } else {
    write();
    stored = !this->Chance(10);
  }
  ApplyGrantResult(this->allocator, change.shard, stored);
  known = shard.grant.version;
}

auto QuotaSimulation::StepAllocator() -> void {
  this->allocator.caps[kNorth] = Cores(this->cap);
  for (auto& [name, shard] : this->shards) {
    if (shard.usage.version > 0 && !this->Chance(3)) {
      QuotaUsage usage = shard.usage.usage;
      if (this->setup.defect == Defect::kNoAcknowledgement ||
          this->setup.defect == Defect::kLimitsIgnored) {
        usage.grant_number = ~std::uint64_t{0};
      }
      ApplyUsage(this->allocator, name, usage);
      if (this->setup.defect == Defect::kLimitsIgnored &&
          !this->allocator.shards[name].grants.empty()) {
        this->allocator.shards[name].grants.back().limits[kNorth] =
            usage.organisations[kNorth].held;
      }
    }
  }
  for (const GrantChange& change : PlanGrants(this->allocator)) {
    this->WriteGrant(change);
  }
}

auto QuotaSimulation::ReplaceOwner(Shard& shard) -> void {
  ++shard.fence;
  Owner next;
  next.quota.caps[kNorth] = Cores(this->cap);
  if (this->setup.defect != Defect::kUsageForgotten) {
    next.quota.held[kNorth] = Cores(this->HeldBy(shard));
  }
  shard.owner = std::move(next);
  shard.owner.usage_version = shard.usage.version;
  this->calm_since = this->now;
}

auto QuotaSimulation::ReplaceAllocator() -> void {
  ++this->allocator_fence;
  this->allocator = QuotaAllocator();
  this->allocator.caps[kNorth] = Cores(this->cap);
  for (const auto& [name, shard] : this->shards) {
    if (shard.grant.version > 0) {
      ApplyStoredGrant(this->allocator, name, shard.grant.grant);
    }
    this->grant_versions[name] = shard.grant.version;
  }
  this->calm_since = this->now;
}

auto QuotaSimulation::RunLate() -> void {
  while (!this->late.empty() && this->Chance(2)) {
    const auto write = std::move(this->late.front());
    this->late.pop_front();
    write();
  }
}

auto QuotaSimulation::RecordWait(Shard& shard) -> void {
  const bool could_run = shard.waiting > 0 && shard.runs.empty() &&
                         this->TotalHeld() * 2 < this->cap &&
                         this->now - this->calm_since > kSettlingSteps;
  if (!could_run) {
    shard.waits_since = -1;
    return;
  }
  if (shard.waits_since < 0) {
    shard.waits_since = this->now;
  }
  this->longest_wait =
      std::max(this->longest_wait, this->now - shard.waits_since);
}

auto QuotaSimulation::Run() -> void {
  for (this->now = 0; this->now < this->setup.steps; ++this->now) {
    this->ChangeCap();
    for (auto& [name, shard] : this->shards) {
      if (this->Chance(40)) {
        shard.waiting += static_cast<int>(this->random() % 30);
      }
      if (this->Chance(300)) {
        this->ReplaceOwner(shard);
      }
      this->StepOwner(shard);
    }
    if (this->Chance(400)) {
      this->ReplaceAllocator();
    }
    // The allocator may be gone for a while.
    if (!this->Chance(4)) {
      this->StepAllocator();
    }
    this->RunLate();
  }
}

}  // namespace fireflythread::test
