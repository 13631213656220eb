// The part of the administration backend that shows pools, VMs and the status.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/control/maintenance_schedule.h"
#include "fireflythread/control/pool_policy.h"
#include "fireflythread/daemon/admin_task.h"
#include "fireflythread/daemon/controller_task.h"
#include "fireflythread/daemon/gateway_task.h"
#include "fireflythread/daemon/registration_task.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/daemon/wave_status.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

using admin::AdminError;

/// The profile of the first service on a pool; the default one when no service
/// uses the pool.
auto ProfileOfPool(const ConfigSnapshot& config, const PoolName& pool)
    -> Profile {
  for (const auto& [name, service] : config.services) {
    const auto profile = config.profiles.find(service.profile);
    if (service.pool == pool && profile != config.profiles.end()) {
      return profile->second;
    }
  }
  return {};
}

auto Matches(const admin::VmFilter& filter, const VmRecord& vm) -> bool {
  return (!filter.pool || *filter.pool == vm.pool) &&
         (!filter.zone || *filter.zone == vm.zone) &&
         (!filter.rack || *filter.rack == vm.rack) &&
         (!filter.state || *filter.state == vm.state);
}

auto NoteOf(const std::optional<ControllerReport>& report, const VmId& vm)
    -> std::string {
  if (!report) {
    return "";
  }
  for (const auto* notices :
       {&report->failed, &report->ejected, &report->draining}) {
    for (const VmNotice& notice : *notices) {
      if (notice.vm == vm) {
        return notice.reason;
      }
    }
  }
  for (const BlockedVm& blocked : report->blocked) {
    if (blocked.vm == vm) {
      return DescribeBlocked(blocked);
    }
  }
  return "";
}

auto IsEjected(const std::optional<ControllerReport>& report, const VmId& vm)
    -> bool {
  return report &&
         std::any_of(report->ejected.begin(), report->ejected.end(),
                     [&](const VmNotice& notice) { return notice.vm == vm; });
}

}  // namespace

auto AdminTask::Pools(const std::optional<ControllerReport>& report) const
    -> std::vector<admin::PoolStatus> {
  const ControlState& state = this->deps.state.Current();
  std::map<PoolName, admin::PoolStatus> pools;
  for (const auto& [name, spec] : state.config->pools) {
    pools[name].name = name;
    pools[name].spare = spec.spare;
  }
  for (const auto& [id, vm] : state.fleet->vms) {
    admin::PoolStatus& pool = pools[vm.pool];
    pool.name = vm.pool;
    ++pool.vms;
    pool.serving += vm.state == VmState::kServing ? 1 : 0;
    pool.in_flight += this->deps.gateway.Requests().InFlight(id);
  }
  std::vector<admin::PoolStatus> result;
  result.reserve(pools.size());
  for (auto& [name, pool] : pools) {
    const double share =
        ProfileOfPool(*state.config, name).max_unavailable * pool.vms;
    pool.budget_left = std::max(
        0, static_cast<int>(std::floor(share)) - (pool.vms - pool.serving));
    const auto found = report
                           ? report->pools.find(name)
                           : std::map<PoolName, PoolStatus>::const_iterator();
    if (report && found != report->pools.end()) {
      pool.needed = found->second.needed;
      pool.headroom =
          pool.needed > 0
              ? static_cast<double>(pool.serving - pool.needed) / pool.needed
              : static_cast<double>(pool.serving);
    }
    result.push_back(std::move(pool));
  }
  return result;
}

auto AdminTask::ListPools(Callback<std::vector<admin::PoolStatus>> callback)
    -> void {
  this->WithReport(
      [this, callback](const std::optional<ControllerReport>& report) {
        callback(this->Pools(report));
      });
}

auto AdminTask::ListVms(admin::VmFilter filter,
                        Callback<std::vector<admin::VmStatus>> callback)
    -> void {
  this->WithReport([this, filter = std::move(filter),
                    callback](const std::optional<ControllerReport>& report) {
    std::vector<admin::VmStatus> vms;
    for (const auto& [id, record] : this->deps.state.Current().fleet->vms) {
      if (Matches(filter, record)) {
        vms.push_back({record, this->deps.gateway.Requests().InFlight(id),
                       IsEjected(report, id), NoteOf(report, id)});
      }
    }
    callback(std::move(vms));
  });
}

auto AdminTask::GetVm(VmId id, Callback<admin::VmStatus> callback) -> void {
  this->ListVms({}, [id, callback](auto result) {
    auto& vms = std::get<std::vector<admin::VmStatus>>(result);
    for (admin::VmStatus& vm : vms) {
      if (vm.record.id == id) {
        callback(std::move(vm));
        return;
      }
    }
    callback(AdminError{
        AdminError::Kind::kNotFound, "vm " + id.value + " does not exist", {}});
  });
}

auto AdminTask::Entries() const -> std::vector<admin::EntryStatus> {
  const Membership& membership = this->deps.state.Members();
  const auto& registered = this->deps.registration.Entries();
  const TimePoint now = ReadBootClock();
  std::vector<admin::EntryStatus> entries;
  for (const EntryId& id : membership.members) {
    admin::EntryStatus entry;
    entry.id = id;
    const auto row = registered.find(id);
    if (row != registered.end()) {
      entry.zone = row->second.zone;
    }
    const auto peer_report = membership.peers.find(id);
    if (id == membership.self) {
      entry.is_self = true;
      entry.zone = this->deps.settings.entry.zone;
      entry.state = this->GetReadiness().state;
      entry.config_version = membership.applied.config;
      entry.fleet_version = membership.applied.fleet;
    } else if (peer_report != membership.peers.end()) {
      const PeerReport& known = peer_report->second;
      entry.last_heard = now - known.answered_question_of;
      entry.config_version = known.versions.config;
      entry.fleet_version = known.versions.fleet;
      // A peer that was not heard for the freshness limit may have stopped.
      if (entry.last_heard <= this->deps.settings.freshness.limit) {
        entry.state = known.recovering ? admin::Readiness::State::kStarting
                                       : admin::Readiness::State::kServing;
      }
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

auto AdminTask::BuildStatus(const std::optional<ControllerReport>& report,
                            const std::vector<WaveRecord>& waves) const
    -> admin::FleetStatus {
  const ControlState& state = this->deps.state.Current();
  admin::FleetStatus status;
  status.config_version = state.config->version;
  status.fleet_version = state.fleet->version;
  status.store_reachable = this->deps.state.StoreReachable();
  status.entries = this->Entries();
  status.controller.holder = this->deps.controller.Holder().value_or(EntryId());
  status.controller.epoch = this->deps.controller.Epoch();
  status.controller.since_renewal = this->deps.controller.SinceRenewal();
  status.controller.duration = this->deps.settings.lease.duration;
  status.pools = this->Pools(report);
  for (const auto& [id, vm] : state.fleet->vms) {
    ++status.vms_by_state[vm.state];
  }
  status.maintenance_overdue =
      CountOverdue(*state.fleet, MakePoolPolicies(*state.config),
                   std::chrono::system_clock::now());
  for (const WaveRecord& wave : waves) {
    if (wave.state == WaveState::kDeclared ||
        wave.state == WaveState::kRunning) {
      status.waves.push_back(BuildWaveStatus(wave, *state.fleet, report,
                                             std::chrono::system_clock::now()));
    }
  }
  if (report) {
    for (const auto* notices : {&report->failed, &report->ejected}) {
      for (const VmNotice& notice : *notices) {
        status.blocked.push_back({notice.vm, notice.reason});
      }
    }
  }
  return status;
}

auto AdminTask::GetStatus(Callback<admin::FleetStatus> callback) -> void {
  this->WithReport(
      [this, callback](const std::optional<ControllerReport>& report) {
        this->ReadWaves([this, callback, report](auto result) {
          auto* waves = std::get_if<std::vector<WaveRecord>>(&result);
          callback(this->BuildStatus(
              report, waves != nullptr ? *waves : std::vector<WaveRecord>()));
        });
      });
}

}  // namespace fireflythread
