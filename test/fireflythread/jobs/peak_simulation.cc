#include "test/fireflythread/jobs/peak_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflythread::test {
namespace {

constexpr milliseconds kStep{10};
constexpr int kTaskMillicores = 1000;
constexpr double kWorkerCores = 8.0;

/// Returns a random number from 0 to 1.
auto Fraction(Random& random) -> double {
  return static_cast<double>(random() % 10001) / 10000.0;
}

}  // namespace

PeakSimulation::PeakSimulation(const Load& peak_load)
    : load(peak_load), random(peak_load.seed), shard(peak_load.workers) {
  this->began_at = this->shard.now;
  std::map<OrganisationName, double> weights;
  for (const OrganisationLoad& organisation : peak_load.organisations) {
    weights.emplace(organisation.name, organisation.weight);
  }
  SetOrganisations(this->shard.state.shares, weights);
}

auto PeakSimulation::DrawOrganisation() -> const OrganisationLoad* {
  std::vector<const OrganisationLoad*> sending;
  double demand = 0;
  for (const OrganisationLoad& organisation : this->load.organisations) {
    if (this->shard.now >= this->began_at + organisation.from) {
      sending.push_back(&organisation);
      demand += organisation.demand;
    }
  }
  double drawn = demand * Fraction(this->random);
  for (const OrganisationLoad* organisation : sending) {
    drawn -= organisation->demand;
    if (drawn <= 0) {
      return organisation;
    }
  }
  return nullptr;
}

auto PeakSimulation::AddArrivals() -> void {
  const double cores = this->load.workers * kWorkerCores;
  const double step_s = std::chrono::duration<double>(kStep).count();
  this->pending_work += cores * this->load.overload * step_s;
  while (this->pending_work > 0) {
    SimulatedJob job;
    // A few jobs are several times as wide as most.
    const double width = Fraction(this->random);
    job.tasks = 2 + static_cast<int>(18 * width * width * width);
    const OrganisationLoad* organisation = this->DrawOrganisation();
    if (organisation != nullptr) {
      job.organisation = OrganisationName(organisation->name);
      job.tasks = organisation->tasks > 0 ? organisation->tasks : job.tasks;
    }
    job.run_time =
        milliseconds(300 + static_cast<int>(700 * Fraction(this->random)));
    const double run_s = std::chrono::duration<double>(job.run_time).count();
    this->pending_work -= job.tasks * run_s;
    const double error =
        std::exp(this->load.estimate_error * (2 * Fraction(this->random) - 1));
    JobStep step = ShardFixture::Step(job.tasks, kTaskMillicores);
    step.estimate = milliseconds(
        static_cast<int>(static_cast<double>(job.run_time.count()) * error));
    const Queue& queue = this->shard.state.queues.begin()->second;
    job.left = job.tasks;
    job.objective =
        this->shard.now + queue.terms.latency_objective +
        milliseconds(static_cast<int>(
            static_cast<double>(job.run_time.count()) * queue.terms.stretch));
    this->last_objective = std::max(this->last_objective, job.objective);
    const std::string id = "job" + std::to_string(this->jobs.size());
    this->shard.AddJob(id, step, job.organisation);
    this->jobs.emplace(JobId(id), job);
  }
}

auto PeakSimulation::FinishRuns() -> void {
  std::map<WorkerId, std::vector<RunCompletion>> ended;
  std::map<WorkerId, std::vector<RunningRun>> running;
  std::vector<ActiveRun> left;
  for (ActiveRun& run : this->runs) {
    const WorkerId worker = run.start.worker;
    if (run.ends_at > this->shard.now) {
      running[worker].push_back(ShardFixture::Running(run.start));
      left.push_back(std::move(run));
      continue;
    }
    ended[worker].push_back(ShardFixture::Ended(
        run.start, ++this->completion_counts[worker], RunResult::kDone));
    SimulatedJob& job = this->jobs.at(run.start.task.job);
    if (--job.left == 0) {
      job.in_time = run.ends_at <= job.objective;
    }
  }
  this->runs = std::move(left);
  for (const WorkerView& view : this->shard.views) {
    WorkerReport report;
    report.clock = std::chrono::duration_cast<milliseconds>(
        this->shard.now.time_since_epoch());
    report.started_at = view.started_at;
    report.running = running[view.id];
    report.ended = ended[view.id];
    ApplyReport(this->shard.state, view.id, report, this->shard.now,
                this->shard.now);
  }
}

auto PeakSimulation::Run() -> void {
  const TimePoint peak_end = this->began_at + this->load.length;
  while (this->shard.now < peak_end || !this->runs.empty()) {
    if (this->shard.now < peak_end) {
      this->AddArrivals();
    }
    for (const StartCommand& start : this->shard.PlanAndStore()) {
      this->shard.Accept(start);
      const SimulatedJob& job = this->jobs.at(start.task.job);
      this->runs.push_back({start, this->shard.now + job.run_time});
    }
    this->shard.Advance(kStep);
    this->shard.wall_now += kStep;
    this->FinishRuns();
  }
}

auto PeakSimulation::GoodputShare() const -> double {
  double good = 0;
  for (const auto& [id, job] : this->jobs) {
    if (job.in_time) {
      good += job.tasks * std::chrono::duration<double>(job.run_time).count();
    }
  }
  const double time =
      std::chrono::duration<double>(this->last_objective - this->began_at)
          .count();
  return good / (this->load.workers * kWorkerCores * time);
}

auto PeakSimulation::InTimeShare(int min_tasks) const -> double {
  int all = 0;
  int in_time = 0;
  for (const auto& [id, job] : this->jobs) {
    if (job.tasks >= min_tasks) {
      ++all;
      in_time += job.in_time ? 1 : 0;
    }
  }
  return all == 0 ? 1.0 : static_cast<double>(in_time) / all;
}

auto PeakSimulation::InTimeShare(const std::string& organisation) const
    -> double {
  int all = 0;
  int in_time = 0;
  for (const auto& [id, job] : this->jobs) {
    if (job.organisation.value == organisation) {
      ++all;
      in_time += job.in_time ? 1 : 0;
    }
  }
  return all == 0 ? 1.0 : static_cast<double>(in_time) / all;
}

}  // namespace fireflythread::test
