#include "test/fireflythread/jobs/peak_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflythread::test {
namespace {

constexpr milliseconds kStep{10};

/// Time between two estimates that entries get.
constexpr milliseconds kBacklogPeriod{500};
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
    job.step = ShardFixture::Step(job.tasks, kTaskMillicores);
    job.step.estimate = milliseconds(
        static_cast<int>(static_cast<double>(job.run_time.count()) * error));
    job.left = job.tasks;
    this->Submit("job" + std::to_string(this->arrivals++), job);
  }
}

auto PeakSimulation::Submit(const std::string& id, const SimulatedJob& arrived)
    -> void {
  SimulatedJob job = arrived;
  const QueueTerms& terms = this->shard.state.queues.begin()->second.terms;
  const bool late = this->shard.now >= this->began_at + this->load.length;
  ++this->submitted[job.organisation];
  if (late) {
    ++this->late_submissions;
    ++this->late_by_second[std::chrono::duration_cast<std::chrono::seconds>(
                               this->shard.now - this->began_at)
                               .count()];
  }
  JobRequest request;
  request.id = JobId(id);
  request.organisation = job.organisation;
  request.steps = {job.step};
  request.terms = terms;
  const auto candidate = MakeAdmissionCandidate(request);
  const auto refusal =
      this->load.admission && candidate
          ? DecideAdmission(this->backlog, this->shard.now - this->backlog_at,
                            *candidate)
          : std::nullopt;
  if (refusal) {
    ++this->refused[job.organisation];
    ++this->refused_by_cause[refusal->cause];
    this->late_refusals += late ? 1 : 0;
    if (this->load.retries) {
      this->returns.emplace(this->shard.now + refusal->retry_after,
                            std::make_pair(id, job));
    }
    return;
  }
  job.objective =
      this->shard.now + terms.latency_objective +
      milliseconds(static_cast<int>(static_cast<double>(job.run_time.count()) *
                                    terms.stretch));
  job.last_use = this->shard.now + 3 * (job.objective - this->shard.now);
  this->last_objective = std::max(this->last_objective, job.objective);
  this->shard.AddJob(id, job.step, job.organisation);
  this->jobs.emplace(JobId(id), job);
}

auto PeakSimulation::AddReturns() -> void {
  while (!this->returns.empty() &&
         this->returns.begin()->first <= this->shard.now) {
    const auto returned = this->returns.extract(this->returns.begin()).mapped();
    this->Submit(returned.first, returned.second);
  }
}

auto PeakSimulation::MeasureWait() -> void {
  if (this->load.admission &&
      this->shard.now - this->backlog_at >= kBacklogPeriod) {
    this->backlog = MeasureBacklog(this->shard.state, this->cap_waits,
                                   this->shard.wall_now, this->shard.now);
    this->backlog_at = this->shard.now;
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
      job.useful = run.ends_at <= job.last_use;
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
  while (this->shard.now < peak_end || !this->runs.empty() ||
         !this->returns.empty()) {
    this->AddReturns();
    if (this->shard.now < peak_end) {
      this->AddArrivals();
    }
    for (const StartCommand& start : this->shard.PlanAndStore()) {
      this->shard.Accept(start);
      const SimulatedJob& job = this->jobs.at(start.task.job);
      this->runs.push_back({start, this->shard.now + job.run_time});
    }
    this->MeasureWait();
    this->shard.Advance(kStep);
    this->shard.wall_now += kStep;
    this->FinishRuns();
  }
}

auto PeakSimulation::Submissions(const std::string& organisation) const -> int {
  const auto count = this->submitted.find(OrganisationName(organisation));
  return count == this->submitted.end() ? 0 : count->second;
}

auto PeakSimulation::Refusals(const std::string& organisation) const -> int {
  const auto count = this->refused.find(OrganisationName(organisation));
  return count == this->refused.end() ? 0 : count->second;
}

auto PeakSimulation::Refusals(RefusalCause cause) const -> int {
  const auto count = this->refused_by_cause.find(cause);
  return count == this->refused_by_cause.end() ? 0 : count->second;
}

auto PeakSimulation::Refusals() const -> int {
  int count = 0;
  for (const auto& [cause, refusals] : this->refused_by_cause) {
    count += refusals;
  }
  return count;
}

auto PeakSimulation::MostLateSubmissions() const -> int {
  int most = 0;
  for (const auto& [second, count] : this->late_by_second) {
    most = std::max(most, count);
  }
  return most;
}

auto PeakSimulation::UsefulShare() const -> double {
  const auto useful = std::count_if(
      this->jobs.begin(), this->jobs.end(),
      [](const auto& entry) -> bool { return entry.second.useful; });
  return this->jobs.empty() ? 1.0
                            : static_cast<double>(useful) /
                                  static_cast<double>(this->jobs.size());
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
