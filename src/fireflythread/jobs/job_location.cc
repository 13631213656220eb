#include "fireflythread/jobs/job_location.h"

#include <algorithm>

#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/pool_part.h"
#include "fireflythread/jobs/queue_assignments.h"

namespace fireflythread {
namespace {

auto AddService(std::vector<ServiceName>& services, const ServiceName& service)
    -> void {
  const bool known =
      std::find(services.begin(), services.end(), service) != services.end();
  if (!known) {
    services.push_back(service);
  }
}

auto ConfiguredServices(const Queue& queue, const Configuration& configuration)
    -> std::vector<ServiceName> {
  std::vector<ServiceName> services{queue.service};
  for (const PoolService& service : configuration.services) {
    if (!service.spare) {
      AddService(services, service.name);
    }
  }
  return services;
}

/// Services that an entry with an older configuration, or with one that has
/// dropped them, does not find in it.
auto AssignedServices(const QueueAssignment* assignment)
    -> std::vector<ServiceName> {
  std::vector<ServiceName> services;
  if (assignment != nullptr) {
    services.push_back(assignment->service);
    services.insert(services.end(), assignment->earlier_services.begin(),
                    assignment->earlier_services.end());
  }
  return services;
}

}  // namespace

auto ShardsWithJob(const Queue& queue,
                   const QueueAssignment* assignment,
                   const Configuration& configuration,
                   const PoolParts& parts,
                   const JobId& job) -> std::optional<std::vector<ShardName>> {
  std::vector<ServiceName> services = ConfiguredServices(queue, configuration);
  const std::size_t configured = services.size();
  for (const ServiceName& service : AssignedServices(assignment)) {
    AddService(services, service);
  }
  std::vector<ShardName> shards;
  for (std::size_t index = 0; index < services.size(); ++index) {
    const auto part = FindPartOfJob(parts, services[index], job);
    if (part) {
      shards.push_back(ShardOf(*part));
    } else if (index < configured) {
      return std::nullopt;
    }
  }
  return shards;
}

}  // namespace fireflythread
