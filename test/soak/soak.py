"""A seeded soak of real fireflythread-entry processes.

    test/soak/soak.py --seed N [--seconds S] [--entries E] [--workers W] [--keep]

Guards against a task that runs twice, is lost, or starts after it was
cancelled, and against numbers of waiting jobs that stay wrong, while entries
are frozen, killed, starved and replaced, workers restart, are cut off, slow or
carry orders out late, the store is down, slow or loses its answers, and routes
get other names, services or each other's names; one after another and at the
same time. Clients send some accepted jobs once more, and may cancel jobs whose
submission got no answer. Prints each breach
with the lines that the entries logged about its task. Exits with 0 if none was
found, with 1 if some were, and with 2 if the soak could not run.

SOAK_ROOT names another checkout whose entries are played, SOAK_ENTRY another
program, and SOAK_OUT the folder for the record.
"""
import argparse
import asyncio
import glob
import os
import random
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import soak_site  # noqa: E402
from soak_site import standin  # noqa: E402
import trouble  # noqa: E402

# How long all must have settled after the last fault, in seconds.
SETTLE_S = 45
# A task that starts later than this after its cancellation was answered is a
# breach, in seconds.
CANCEL_BOUND_S = 5.0
# How long the numbers of waiting jobs may be wrong once all jobs have begun, in
# seconds: `visible_ms` and 2 s.
WAITING_BOUND_S = 5.0
# The share of accepted jobs whose request arrives once more.
REPEAT_SHARE = 0.3
# Breaches that are printed with their logs.
PRINTED_BREACHES = 6


class Load:
    """The clients: they submit jobs, again under the same id after no answer,
    and cancel some."""

    def __init__(self, site, rng, cancel_unanswered):
        self.site = site
        self.rng = rng
        # The share of tries without an answer after which a client cancels.
        self.cancel_unanswered = cancel_unanswered
        self.accepted = {}   # job -> queue
        self.cancelled = {}  # job -> time of the answer, or None without one
        self.tasks = []

    def make_job(self):
        rng = self.rng
        if rng.random() < 0.08:
            step = {"count": rng.randint(2, 5), "cpu": 1000, "mem_mb": 256,
                    "long_running": True, "may_miss": 1}
            return "keep", [step], "work_ms=100000000"
        count = rng.choice([1, 1, 2, 4, 8, 20])
        work_ms = rng.choice([200, 600, 1500, 4000, 9000])
        steps = [{"count": count, "cpu": rng.choice([200, 500, 900]), "mem_mb": 128,
                  "estimate_ms": work_ms}]
        if rng.random() < 0.2:
            steps.append(dict(steps[0], count=2, after=[0]))
        return rng.choice(["quote", "keep"]), steps, f"work_ms={work_ms}"

    async def run(self, seconds, rate):
        end = self.site.record.now() + seconds
        while self.site.record.now() < end:
            self.tasks.append(asyncio.ensure_future(self.submit()))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*self.tasks)

    def gives_up(self):
        # Draws nothing without such clients, so that a seed stays what it was.
        return self.cancel_unanswered > 0 and self.rng.random() < self.cancel_unanswered

    def pick_entry(self):
        up = [entry for entry in self.site.entries if entry.is_up()]
        return self.rng.choice(up or self.site.entries)

    async def submit(self):
        queue, steps, spec = self.make_job()
        job = standin.new_job()
        for _ in range(30):
            status = await self.site.post(self.pick_entry(), queue, job, steps, spec)
            if status is not None and 200 <= status < 300:
                self.accepted[job] = queue
                break
            if status is None and self.gives_up():
                await self.cancel(job, queue)
                return
            if status in (429, 503):
                # Not accepted, and never runs, unless an earlier try was.
                job = standin.new_job()
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if job in self.accepted and self.rng.random() < REPEAT_SHARE:
            await asyncio.sleep(self.rng.uniform(0.1, 8))
            await self.site.post(self.pick_entry(), queue, job, steps, spec)
        if job in self.accepted and self.rng.random() < 0.06:
            await asyncio.sleep(self.rng.uniform(0.2, 4))
            await self.cancel(job, queue)

    async def cancel(self, job, queue):
        self.cancelled[job] = None
        for _ in range(30):
            try:
                status, _ = await standin.call(self.pick_entry().front, "DELETE",
                                               f"/{queue}/{job}")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = None
            if status is not None and (status < 300 or status == 410):
                self.cancelled[job] = self.site.record.now()
                return
            await asyncio.sleep(0.3)


def tasks_of(job, body):
    for number, step in enumerate(body["steps"]):
        for index in range(step["count"]):
            yield f"{job}.0.{number}.{index}", step


def unfinished(site, load):
    """Tasks of accepted jobs that have neither a run nor an end."""
    working, done = set(), set()
    for run in site.runs():
        if run.ended is None:
            working.add(run.task)
        elif run.how == "done":
            done.add(run.task)
    missing = []
    for job in load.accepted:
        if job in load.cancelled:
            continue
        for task, step in tasks_of(job, site.jobs[job]):
            ok = task in working if step.get("long_running") else task in done
            if not ok:
                missing.append(task)
    return missing


def unasked(site, load):
    return [f"{run.task}: run {run.number} on {run.worker} began at {run.began:.3f}, "
            f"cancelled at {load.cancelled[job]:.3f}"
            for run in site.runs()
            for job in [run.task.split(".")[0]]
            if load.cancelled.get(job) is not None and
            run.began > load.cancelled[job] + CANCEL_BOUND_S]


async def wrong_counts(site):
    """Numbers of waiting jobs that entries tell although all jobs have begun."""
    end = site.record.now() + WAITING_BOUND_S
    while True:
        wrong = []
        for entry in site.entries:
            for queue in sorted(site.routes):
                waiting = await site.waiting(entry, queue)
                if waiting != 0:
                    wrong.append(f"{entry.name}: {waiting} jobs wait in {queue}, not 0")
        if not wrong or site.record.now() > end:
            return wrong
        await asyncio.sleep(0.5)


async def play(site, load, plan, seconds, rate):
    await site.start()
    faults = asyncio.ensure_future(plan.run(seconds))
    await load.run(seconds, rate)
    await faults
    await plan.heal()
    site.record.line("all is healed")
    end = site.record.now() + SETTLE_S
    while site.record.now() < end and unfinished(site, load):
        await asyncio.sleep(0.5)
    breaches = [("CRASH", text) for text in site.crashes]
    breaches += [("TWICE", text) for text in site.twice()]
    breaches += [("LOST", f"{task}: neither runs nor is done") for task in
                 unfinished(site, load)]
    breaches += [("UNASKED", text) for text in unasked(site, load)]
    breaches += [("MIXED", text) for text in await wrong_counts(site)]
    return breaches


def print_breach(site, rule, text):
    print(f"BROKEN {rule} {text}")
    task = text.split(":")[0]
    for path in sorted(glob.glob(os.path.join(site.folder, "*.log"))):
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                if task in line:
                    print("   ", os.path.basename(path), line.strip()[:420])


def summarize(site, load, breaches):
    counts = {rule: sum(1 for each, _ in breaches if each == rule)
              for rule in ("CRASH", "TWICE", "LOST", "UNASKED", "MIXED")}
    print(f"jobs {len(load.accepted)}, cancelled {len(load.cancelled)}, "
          f"runs {len(site.runs())}, " +
          ", ".join(f"{rule} {count}" for rule, count in counts.items()))


async def main_async(args):
    rng = random.Random(args.seed)
    folder = os.environ.get("SOAK_OUT") or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    site = soak_site.Site(folder, random.Random(rng.random()), args.entries, args.workers)
    load = Load(site, random.Random(rng.random()), args.cancel_unanswered)
    plan = trouble.Trouble(site, random.Random(rng.random()), args.kinds)
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    keep = args.keep
    try:
        breaches = await play(site, load, plan, args.seconds, args.rate)
        keep = keep or bool(breaches)
    except asyncio.CancelledError:
        if site.starved:
            raise standin.NotRun(f"the stand-ins were starved for {site.starved:.1f} s")
        raise
    finally:
        plan.thaw_all()
        for entry in site.entries:
            await entry.kill()
    for rule, text in breaches[:PRINTED_BREACHES]:
        print_breach(site, rule, text)
    for rule, text in breaches[PRINTED_BREACHES:]:
        print(f"BROKEN {rule} {text}")
    print(f"seed {args.seed}: ", end="")
    summarize(site, load, breaches)
    if keep:
        print("record and logs in", folder, site.folder)
    else:
        shutil.rmtree(site.folder, ignore_errors=True)
    return 1 if breaches else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--entries", type=int, default=8)
    parser.add_argument("--workers", type=int, default=18)
    parser.add_argument("--rate", type=float, default=6, help="jobs per second")
    parser.add_argument("--kinds", help="only these kinds of faults, with commas")
    parser.add_argument("--cancel-unanswered", type=float, default=0.0,
                        help="the share of tries without an answer after which a "
                        "client cancels the job")
    parser.add_argument("--keep", action="store_true")
    soak_site.run_and_exit(main_async, parser.parse_args())


if __name__ == "__main__":
    main()
